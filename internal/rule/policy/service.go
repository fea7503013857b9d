package policy

import (
	"strconv"
	"strings"
	"time"

	"valescale/internal/plat/ident"
)

// TargetKind is what a service's targets are.
type TargetKind string

const (
	// EngineTargets run language models and speak chat completions.
	EngineTargets TargetKind = "engine"
	// PlainTargets are ordinary applications.
	PlainTargets TargetKind = "plain"
)

// Balance is how a service's targets are chosen.
type Balance string

const (
	// Exact balance takes a permit from the shard's home for each request.
	Exact Balance = "exact"
	// Local balance decides in the router that has the request, without messages.
	Local Balance = "local"
)

// Service is a compiled service document.
type Service struct {
	Name    ident.Service
	Kind    TargetKind
	Balance Balance
	// Shards is how many parts its pools are counted in.
	Shards int
	// Bound is the multiple of the mean load that no target may exceed.
	Bound float64
	// Slots is how many requests one target runs at once; zero means no limit.
	Slots int
	// Timeout bounds one attempt from the first byte sent to the last received.
	Timeout time.Duration
	// NotRunStatus are answers that this service's contract says mean "not run".
	NotRunStatus []int
	// Fenced targets refuse orders and claims with an older fencing token.
	Fenced bool
	// Export says that its engines can copy cached prefixes to each other.
	Export bool
	// Echo says that its targets return the attempt's id with each answer, so that
	// connections to them can be kept.
	Echo bool
	// Protocol is how its targets are spoken to.
	Protocol Protocol
	// Weighing is what its targets' load is measured in.
	Weighing Weighing
	// Model is the model that its engines are to have loaded; empty gives no orders.
	Model string
	// ClosedZones are the availability zones whose targets get no new work.
	ClosedZones []ident.Zone
}

// Protocol is how targets are spoken to.
type Protocol string

const (
	// HTTP1 targets speak HTTP/1.1.
	HTTP1 Protocol = "http1"
	// HTTP2 targets speak HTTP/2 in clear text.
	HTTP2 Protocol = "http2"
)

// DefaultShards is the number of shards of a pool that does not say.
const DefaultShards = 2

const (
	maxShards      = 64
	defaultTimeout = 2 * time.Minute
	maxTimeout     = time.Hour
	defaultBound   = 1.25
)

func compileService(d Document) (Service, error) {
	f := d.fields()
	s := Service{
		Name:     ident.Service(d.ID.Name),
		Kind:     TargetKind(f.oneOf("kind", string(EngineTargets), string(EngineTargets), string(PlainTargets))),
		Shards:   f.integer("shards", DefaultShards, 1, maxShards),
		Bound:    f.number("bound", defaultBound, 1.01, 100),
		Slots:    f.integer("slots", 0, 0, 1_000_000),
		Timeout:  f.duration("timeout", defaultTimeout, time.Millisecond, maxTimeout),
		Fenced:   f.boolean("fenced", false),
		Export:   f.boolean("export", false),
		Echo:     f.boolean("echo", false),
		Protocol: Protocol(f.oneOf("protocol", string(HTTP1), string(HTTP1), string(HTTP2))),
		Model:    f.text("model", ""),
		Weighing: Weighing(f.oneOf("work", string(ByRequests), string(ByRequests), string(ByTokens))),
	}
	balance := Exact
	if s.Kind == PlainTargets {
		balance = Local
	}
	s.Balance = Balance(f.oneOf("balance", string(balance), string(Exact), string(Local)))
	for _, zone := range f.list("closed_zones") {
		s.ClosedZones = append(s.ClosedZones, ident.Zone(zone))
	}
	for _, part := range f.list("not_run_status") {
		status, err := strconv.Atoi(part)
		if err != nil || status < 400 || status > 599 {
			f.fail("not_run_status", "%q is not a status from 400 to 599", part)
			continue
		}
		s.NotRunStatus = append(s.NotRunStatus, status)
	}
	return s, f.done()
}

// Weighing is what a service's load is measured in.
type Weighing string

const (
	// ByRequests counts each request alike.
	ByRequests Weighing = "requests"
	// ByTokens counts a request by its estimated tokens.
	ByTokens Weighing = "tokens"
)

// Of a request measured by tokens: how many make one plain request's work, how
// many answers have when the caller does not say, and how much cheaper a token of
// the prompt is than one of the answer.
const (
	tokensPerRequest   = 512
	defaultAnswer      = 256
	promptTokensAsOne  = 8
	minWork            = ident.OneRequest / 8
	maxWork            = ident.OneRequest * 16
	maxCountableTokens = 1 << 20
)

// WorkOf is the work of a request with an estimated number of tokens in its prompt
// and at most so many in its answer; zero means not known.
func (s Service) WorkOf(prompt, answer int64) ident.Work {
	if s.Weighing != ByTokens {
		return ident.OneRequest
	}
	if answer <= 0 {
		answer = defaultAnswer
	}
	tokens := min(answer, maxCountableTokens) + min(prompt, maxCountableTokens)/promptTokensAsOne
	return min(max(ident.Work(tokens)*ident.OneRequest/tokensPerRequest, minWork), maxWork)
}

// MeansNotRun reports whether the service's contract says that a status means "not run".
func (s Service) MeansNotRun(status int) bool {
	for _, known := range s.NotRunStatus {
		if known == status {
			return true
		}
	}
	return false
}

func (f *fields) oneOf(key, fallback string, allowed ...string) string {
	value := f.text(key, fallback)
	for _, a := range allowed {
		if value == a {
			return value
		}
	}
	f.fail(key, "%q is not one of %s", value, strings.Join(allowed, ", "))
	return fallback
}

func (f *fields) integer(key string, fallback, low, high int) int {
	value, err := strconv.Atoi(f.text(key, strconv.Itoa(fallback)))
	if err != nil || value < low || value > high {
		f.fail(key, "not a whole number from %d to %d", low, high)
		return fallback
	}
	return value
}

func (f *fields) number(key string, fallback, low, high float64) float64 {
	value, err := strconv.ParseFloat(f.text(key, strconv.FormatFloat(fallback, 'g', -1, 64)), 64)
	if err != nil || !(value >= low && value <= high) {
		f.fail(key, "not a number from %g to %g", low, high)
		return fallback
	}
	return value
}

func (f *fields) duration(key string, fallback, low, high time.Duration) time.Duration {
	value, err := time.ParseDuration(f.text(key, fallback.String()))
	if err != nil || value < low || value > high {
		f.fail(key, "not a time from %s to %s, such as 30s", low, high)
		return fallback
	}
	return value
}

func (f *fields) boolean(key string, fallback bool) bool {
	value, err := strconv.ParseBool(f.text(key, strconv.FormatBool(fallback)))
	if err != nil {
		f.fail(key, "neither true nor false")
		return fallback
	}
	return value
}

func (f *fields) list(key string) []string {
	var out []string
	for _, part := range strings.Split(f.text(key, ""), ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
