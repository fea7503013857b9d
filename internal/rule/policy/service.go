package policy

import (
	"slices"
	"strconv"
	"time"

	"valescale/internal/plat/ident"
)

// TargetKind is the type of a service's targets.
type TargetKind string

const (
	// EngineTargets run language models and serve the chat completions API.
	EngineTargets TargetKind = "engine"
	// PlainTargets are ordinary applications.
	PlainTargets TargetKind = "plain"
)

// Balance is the method of selecting a target of a service.
type Balance string

const (
	// Exact balance acquires a permit from the shard's home for each request.
	Exact Balance = "exact"
	// Local balance selects a target in the edge router, without a request to a home.
	Local Balance = "local"
)

// Service is a compiled service document.
type Service struct {
	Name    ident.Service
	Kind    TargetKind
	Balance Balance
	// Shards is the number of shards of each of its pools.
	Shards int
	// Bound limits the load of each target to this multiple of the mean load.
	Bound float64
	// Slots is the number of requests that one target runs concurrently; zero means no limit.
	Slots int
	// Timeout limits the time of one attempt from the first byte sent to the last byte received.
	Timeout time.Duration
	// NotRunStatus are the status codes that the service's contract defines as "not run".
	NotRunStatus []int
	// Fenced targets reject orders and claims with an older fencing token.
	Fenced bool
	// Export is set if its engines can copy cached prompt prefixes to each other.
	Export bool
	// Echo is set if its targets return the attempt's ID with each answer. Connections to them
	// can then be reused.
	Echo bool
	// Protocol is the protocol of its targets.
	Protocol Protocol
	// WorkUnit is the unit of its targets' load.
	WorkUnit WorkUnit
	// Model is the model that its engines are ordered to load. If it is empty, no orders are sent.
	Model string
	// ClosedZones are the availability zones whose targets receive no new requests.
	ClosedZones []ident.Zone
}

// Protocol is the protocol of a service's targets.
type Protocol string

const (
	// HTTP1 targets use HTTP/1.1.
	HTTP1 Protocol = "http1"
	// HTTP2 targets use HTTP/2 without TLS.
	HTTP2 Protocol = "http2"
)

// DefaultShards is the number of shards of a pool if the document does not set it.
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
		Kind:     oneOf(f, "kind", EngineTargets, EngineTargets, PlainTargets),
		Shards:   f.integer("shards", DefaultShards, 1, maxShards),
		Bound:    f.number("bound", defaultBound, 1.01, 100),
		Slots:    f.integer("slots", 0, 0, 1_000_000),
		Timeout:  f.duration("timeout", defaultTimeout, time.Millisecond, maxTimeout),
		Fenced:   f.boolean("fenced", false),
		Export:   f.boolean("export", false),
		Echo:     f.boolean("echo", false),
		Protocol: oneOf(f, "protocol", HTTP1, HTTP1, HTTP2),
		Model:    f.text("model", ""),
		WorkUnit: oneOf(f, "work", ByRequests, ByRequests, ByTokens),
	}
	balance := Exact
	if s.Kind == PlainTargets {
		balance = Local
	}
	s.Balance = oneOf(f, "balance", balance, Exact, Local)
	for _, zone := range f.list("closed_zones") {
		s.ClosedZones = append(s.ClosedZones, ident.Zone(zone))
	}
	for _, part := range f.list("not_run_status") {
		status, err := strconv.Atoi(part)
		if err != nil || status < 400 || status > 599 {
			f.fail("not_run_status", "%q is not an HTTP status from 400 to 599", part)
			continue
		}
		s.NotRunStatus = append(s.NotRunStatus, status)
	}
	return s, f.done()
}

// WorkUnit is the unit of a service's load.
type WorkUnit string

const (
	// ByRequests counts each request as the same work.
	ByRequests WorkUnit = "requests"
	// ByTokens counts the work of a request by its estimated number of tokens.
	ByTokens WorkUnit = "tokens"
)

// Limits and defaults of work measured in tokens: the number of answer tokens whose work equals
// ident.OneRequest, the assumed length of an answer if the caller sets no limit, and the number of
// prompt tokens that cost as much as one answer token.
const (
	tokensPerRequest           = 512
	defaultAnswerTokens        = 256
	promptTokensPerAnswerToken = 8
	minWork                    = ident.OneRequest / 8
	maxWork                    = ident.OneRequest * 16
	maxCountedTokens           = 1 << 20
)

// WorkOf returns the work of a request, given the estimated number of tokens of its prompt and the
// maximum number of tokens of its answer. Zero means that the number is unknown.
func (s Service) WorkOf(prompt, answer int64) ident.Work {
	if s.WorkUnit != ByTokens {
		return ident.OneRequest
	}
	if answer <= 0 {
		answer = defaultAnswerTokens
	}
	tokens := min(answer, maxCountedTokens) + min(prompt, maxCountedTokens)/promptTokensPerAnswerToken
	return min(max(ident.Work(tokens)*ident.OneRequest/tokensPerRequest, minWork), maxWork)
}

// MeansNotRun reports whether the service's contract defines a status code as "not run".
func (s Service) MeansNotRun(status int) bool {
	return slices.Contains(s.NotRunStatus, status)
}
