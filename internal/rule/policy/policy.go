package policy

import (
	"time"

	"cel.dev/cel-go/cel"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/retry"
)

// OnLoss defines how a stream is handled when its engine crashes.
type OnLoss string

const (
	// Fail ends the stream with an explicit error.
	Fail OnLoss = "fail"
	// Continue resumes the stream on another engine from the prompt and the text already sent.
	Continue OnLoss = "continue"
)

// MaxWait is the maximum time that a policy may let a request wait.
const MaxWait = 5 * time.Minute

// MinPriority and MaxPriority are the limits of a request's priority. When a queue is full,
// requests of the lowest priority are rejected first.
const (
	MinPriority = 0
	MaxPriority = 9
)

// Decision is the result of a policy for one request.
type Decision struct {
	Service  ident.Service
	Repeat   retry.Repeat
	Priority int
	Wait     time.Duration
	OnLoss   OnLoss
	// Faulty is set if a program failed and the strictest value was used in its place.
	Faulty bool
}

// Policy is a compiled policy document.
type Policy struct {
	Name     string
	service  *program
	repeat   *program
	priority *program
	wait     *program
	onLoss   *program
}

// setting describes one program of a policy: its key, default, result type and permitted constants.
type setting struct {
	key      string
	fallback string
	kind     *cel.Type
	allowed  []string
	field    func(*Policy) **program
}

var settings = []setting{
	{"service", "", cel.StringType, nil,
		func(p *Policy) **program { return &p.service }},
	{"repeat", `"unstarted"`, cel.StringType, []string{string(retry.Safe), string(retry.Never), string(retry.Unstarted)},
		func(p *Policy) **program { return &p.repeat }},
	{"priority", "5", cel.IntType, nil,
		func(p *Policy) **program { return &p.priority }},
	{"wait", `duration("10s")`, cel.DurationType, nil,
		func(p *Policy) **program { return &p.wait }},
	{"on_loss", `"continue"`, cel.StringType, []string{string(Fail), string(Continue)},
		func(p *Policy) **program { return &p.onLoss }},
}

func compilePolicy(env *cel.Env, d Document, services map[ident.Service]Service) (*Policy, error) {
	f := d.fields()
	p := &Policy{Name: d.ID.Name}
	for _, s := range settings {
		source := f.text(s.key, s.fallback)
		if source == "" {
			f.fail(s.key, "is missing")
			continue
		}
		compiled, err := compileProgram(env, d.ID, s.key, source, s.kind)
		if err != nil {
			return nil, err
		}
		*s.field(p) = compiled
		if s.allowed != nil {
			f.checkLiterals(s.key, compiled, func(v string) bool { return contains(s.allowed, v) })
		}
	}
	if p.service != nil {
		f.checkLiterals("service", p.service, func(v string) bool {
			_, ok := services[ident.Service(v)]
			return ok
		})
	}
	return p, f.done()
}

// checkLiterals rejects a program that can return a string constant that is not permitted.
func (f *fields) checkLiterals(key string, p *program, allowed func(string) bool) {
	values, _ := p.literals()
	for _, v := range values {
		if !allowed(v) {
			f.fail(key, "gives %q, which does not exist", v)
		}
	}
}

func contains(list []string, value string) bool {
	for _, v := range list {
		if v == value {
			return true
		}
	}
	return false
}

// Decide evaluates the policy's programs for a request.
func (p *Policy) Decide(r *Request) Decision {
	d := Decision{Repeat: retry.Never, Priority: MinPriority, OnLoss: Fail}
	service, ok := p.service.text(r)
	d.Service = ident.Service(service)
	d.Faulty = !ok
	if v, ok := p.repeat.text(r); ok && (v == string(retry.Safe) || v == string(retry.Unstarted) || v == string(retry.Never)) {
		d.Repeat = retry.Repeat(v)
	} else {
		d.Faulty = true
	}
	if v, ok := p.priority.integer(r); ok {
		d.Priority = int(min(max(v, MinPriority), MaxPriority))
	} else {
		d.Faulty = true
	}
	if v, ok := p.wait.duration(r); ok {
		d.Wait = min(max(v, 0), MaxWait)
	} else {
		d.Faulty = true
	}
	if v, ok := p.onLoss.text(r); ok && v == string(Continue) {
		d.OnLoss = Continue
	} else if !ok {
		d.Faulty = true
	}
	return d
}

// Problem is one error in a set of documents.
type Problem struct {
	Document ID
	Err      error
}

func newProblem(id ID, err error) Problem {
	if fault.KindOf[Kind](err) == "" {
		err = fault.New("policy.Compile", Invalid, err)
	}
	return Problem{Document: id, Err: err}
}
