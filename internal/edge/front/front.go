package front

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"valescale/internal/edge/guard"
	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/memory"
	"valescale/internal/rule/crash"
	"valescale/internal/rule/policy"
	"valescale/internal/rule/quota"
	"valescale/internal/rule/retry"
	"valescale/internal/share/claim"
	"valescale/internal/share/config"
)

// Configs returns the configuration in force.
type Configs interface {
	InForce() config.InForce
}

// Finder finds targets for requests and enforces the rate limits of workspaces.
type Finder interface {
	Acquire(ctx context.Context, request route.TargetRequest) (*route.Placement, error)
	Admit(ctx context.Context, w policy.Workspace) error
	Report(target ident.TargetHash, ok bool)
	ReportCancelled(target ident.TargetHash)
	// ReportNotice processes the state that a target reported in a response.
	ReportNotice(target route.Target, n route.Notice)
	// BackoffLeft returns the remaining backoff of a target, during which it accepts no requests of
	// this router.
	BackoffLeft(target route.Target) time.Duration
}

// Sender sends requests to targets.
type Sender interface {
	Send(ctx context.Context, call relay.Call) (*relay.Reply, error)
}

// Claimer manages the claims by which requests run at most once.
type Claimer interface {
	Begin(ctx context.Context, key claim.Key, hash claim.BodyHash) (*claim.Ticket, *claim.Answer, error)
	Finish(ticket *claim.Ticket, answer claim.Answer)
	Release(ticket *claim.Ticket)
}

// Guard quarantines requests under which targets crash.
type Guard interface {
	// Quarantine returns the quarantine of a request with the given traits.
	Quarantine(traits []crash.Trait) crash.Quarantine
	// Admit returns the quarantine of a request that is about to be sent, which may be a trial.
	Admit(traits []crash.Trait) crash.Quarantine
	// Abandon ends a trial whose attempt showed nothing.
	Abandon(traits []crash.Trait)
	// ReportInterrupted records an interrupted response.
	ReportInterrupted(b guard.Interruption)
	// Served records a complete response to a request with the given traits.
	Served(traits []crash.Trait)
}

// Directory returns a target by its id, for resuming a stream.
type Directory interface {
	Target(id ident.Target) (route.Target, bool)
}

// Observer receives the results of requests and policy decisions, for metrics.
type Observer interface {
	// Finished reports the end of a request.
	Finished(f Finished)
	// Decided reports a policy decision.
	Decided(w policy.Workspace, request *policy.Request, decision policy.Decision)
}

// Finished describes the end of a request.
type Finished struct {
	Workspace ident.Workspace
	Service   ident.Service
	Outcome   retry.Outcome
	Code      Code
	Warm      bool
	Attempts  int
	// WaitTime is the time from the arrival of the request until a target was found, FirstByte the
	// time until the first byte was sent to the caller, and TotalTime the time until the end.
	WaitTime  time.Duration
	FirstByte time.Duration
	TotalTime time.Duration
}

// Limits are the limits for requests of callers.
type Limits struct {
	// Body is the maximum size of a request body, in bytes.
	Body int64
	// BodyTime is the timeout for reading a request body.
	BodyTime time.Duration
	// WriteTime is the timeout of each write of an event, or of a part of an answer, to a caller that does not read.
	WriteTime time.Duration
	// Tries is the maximum number of attempts per request.
	Tries int
	// MaxPartialBytes is the maximum size of the text of a stream that is kept for continuing it on
	// another engine, in bytes.
	MaxPartialBytes int
	// MinClaimTimeout is the minimum timeout for a claim, which waits for the store.
	MinClaimTimeout time.Duration
}

// DefaultLimits are suitable for chat completions.
var DefaultLimits = Limits{
	Body: 4 << 20, BodyTime: 30 * time.Second, WriteTime: 30 * time.Second, Tries: 3, MaxPartialBytes: 1 << 20, MinClaimTimeout: 2 * time.Second,
}

// Parts are the dependencies of a Front.
type Parts struct {
	Configs   Configs
	Finder    Finder
	Sender    Sender
	Claims    Claimer
	Guard     Guard
	Directory Directory
	Observer  Observer
	Logger    log.Logger
	Keys      relay.Keys
	Zone      ident.Zone
	Clock     ident.Clock
	// Memory is the account of what is kept for callers.
	Memory *memory.Account
	// StopsBefore reports whether the router is stopping and may end before a time.
	StopsBefore func(time.Time) bool
}

// Front is the HTTP server for callers.
type Front struct {
	Parts
	limits Limits
	mu     sync.Mutex
	budget *retry.Budget
	// memoryDelays are the delays of requests that were refused for want of memory.
	memoryDelays quota.SizeDelays
}

// The retry budget allows retries for this ratio of the requests, plus a constant rate per second.
const (
	retryBudgetRatio = 0.1
	retryBudgetRate  = 1
)

// New returns a Front; limits apply to each request.
func New(parts Parts, limits Limits) *Front {
	return &Front{Parts: parts, limits: limits, budget: retry.NewBudget(parts.Clock(), retryBudgetRatio, retryBudgetRate)}
}

// ChatPath is the path of the chat completions API.
const ChatPath = "/v1/chat/completions"

// Handler returns the HTTP handler for requests of callers.
func (f *Front) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ChatPath, f.serveChat)
	mux.HandleFunc("GET "+ChatPath, f.serveResume)
	mux.HandleFunc("/", f.servePlain)
	return mux
}

// takeRetryToken takes one token of the retry budget and reports whether there was one.
func (f *Front) takeRetryToken() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget.Retry(f.Clock())
}

// admit counts a request for the retry budget and takes one of its workspace's rate tokens. If there is none, it
// answers the request and returns false.
func (f *Front) admit(w http.ResponseWriter, r *http.Request, j *job) bool {
	f.countRequest()
	if err := f.Finder.Admit(r.Context(), j.workspace); err != nil {
		f.fail(w, j, routeProblem(err))
		return false
	}
	return true
}

func (f *Front) countRequest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.Request()
}
