package policy

import (
	"slices"
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
			f.checkLiterals(s.key, compiled, func(v string) bool { return slices.Contains(s.allowed, v) })
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

// Decide evaluates the policy's programs for a request.
func (p *Policy) Decide(r *Request) Decision {
	service, validService := p.service.text(r)
	repeat, validRepeat := p.decideRepeat(r)
	priority, validPriority := p.decidePriority(r)
	wait, validWait := p.decideWait(r)
	onLoss, validOnLoss := p.decideOnLoss(r)
	return Decision{
		Service: ident.Service(service), Repeat: repeat, Priority: priority, Wait: wait, OnLoss: onLoss,
		Faulty: !validService || !validRepeat || !validPriority || !validWait || !validOnLoss,
	}
}

// decideRepeat returns whether the request may be repeated, never if the program failed.
func (p *Policy) decideRepeat(r *Request) (repeat retry.Repeat, valid bool) {
	v, ok := p.repeat.text(r)
	repeat = retry.Repeat(v)
	if !ok || repeat != retry.Safe && repeat != retry.Unstarted && repeat != retry.Never {
		return retry.Never, false
	}
	return repeat, true
}

// decidePriority returns the request's priority, the lowest if the program failed.
func (p *Policy) decidePriority(r *Request) (priority int, valid bool) {
	v, ok := p.priority.integer(r)
	if !ok {
		return MinPriority, false
	}
	return int(min(max(v, MinPriority), MaxPriority)), true
}

// decideWait returns how long the request may wait, not at all if the program failed.
func (p *Policy) decideWait(r *Request) (wait time.Duration, valid bool) {
	v, ok := p.wait.duration(r)
	if !ok {
		return 0, false
	}
	return min(max(v, 0), MaxWait), true
}

// decideOnLoss returns whether a lost stream is continued, which it is not if the program failed.
func (p *Policy) decideOnLoss(r *Request) (onLoss OnLoss, valid bool) {
	v, ok := p.onLoss.text(r)
	if !ok || v != string(Continue) {
		return Fail, ok
	}
	return Continue, true
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
