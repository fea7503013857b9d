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
	"valescale/internal/rule/policy"
	"valescale/internal/rule/retry"
	"valescale/internal/share/claim"
	"valescale/internal/share/config"
)

// Configs gives the configuration in force.
type Configs interface {
	InForce() config.InForce
}

// Finder finds targets and keeps workspaces within their rates.
type Finder interface {
	Acquire(ctx context.Context, ask route.Ask) (*route.Placement, error)
	Admit(ctx context.Context, w policy.Workspace) error
	Report(target ident.TargetHash, ok bool)
	Cancelled(target ident.TargetHash)
	// Observe takes in what a target said of itself in an answer.
	Observe(target route.Target, n route.Notice)
	// BackoffLeft is for how much longer a target wants no requests from this router.
	BackoffLeft(target route.Target) time.Duration
}

// Sender makes attempts.
type Sender interface {
	Send(ctx context.Context, call relay.Call) (*relay.Reply, error)
}

// Claimer makes requests run at most once.
type Claimer interface {
	Begin(ctx context.Context, key claim.Key, hash claim.BodyHash) (*claim.Ticket, *claim.Answer, error)
	Finish(ticket *claim.Ticket, answer claim.Answer)
	Release(ticket *claim.Ticket)
}

// Guard holds back requests under which targets end.
type Guard interface {
	// HeldFor is how much longer a request is held back; zero if it is not.
	HeldFor(request ident.Fingerprint) time.Duration
	// Broke notes an answer that broke off.
	Broke(b guard.Break)
	// Served notes a whole answer.
	Served(request ident.Fingerprint)
}

// Directory finds a target by its id, for resuming a stream.
type Directory interface {
	Target(id ident.Target) (route.Target, bool)
}

// Observer is told what happens to requests.
type Observer interface {
	// Finished tells of one request's end.
	Finished(f Finished)
	// Decided tells of one decision of a policy.
	Decided(w policy.Workspace, request *policy.Request, decision policy.Decision)
}

// Finished is one request's end.
type Finished struct {
	Workspace ident.Workspace
	Service   ident.Service
	Outcome   retry.Outcome
	Code      Code
	Warm      bool
	Tries     int
	// Waited is until a target was found, FirstByte until the caller got the answer's first byte.
	Waited    time.Duration
	FirstByte time.Duration
	Whole     time.Duration
}

// Limits bound what callers can send.
type Limits struct {
	// Body is the largest request body, in bytes.
	Body int64
	// BodyTime is how long a caller may take to send it.
	BodyTime time.Duration
	// Tries is how many attempts one request gets at most.
	Tries int
	// Partial is the most text of a stream that is kept for continuing it elsewhere, in bytes.
	Partial int
	// ClaimTime is the least time that a claim may wait for the store.
	ClaimTime time.Duration
}

// DefaultLimits suit chats.
var DefaultLimits = Limits{Body: 4 << 20, BodyTime: 30 * time.Second, Tries: 3, Partial: 1 << 20, ClaimTime: 2 * time.Second}

// Parts are what a front works with.
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
}

// Front serves callers.
type Front struct {
	Parts
	limits Limits
	mu     sync.Mutex
	budget *retry.Budget
}

// Retries are at most this share of the requests, plus a few a second.
const (
	retryShare = 0.1
	retryFloor = 1
)

// New returns a front.
func New(parts Parts, limits Limits) *Front {
	return &Front{Parts: parts, limits: limits, budget: retry.NewBudget(parts.Clock(), retryShare, retryFloor)}
}

// ChatPath is the path of the chat completions interface.
const ChatPath = "/v1/chat/completions"

// Handler returns what callers' connections are served by.
func (f *Front) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ChatPath, f.serveChat)
	mux.HandleFunc("GET "+ChatPath, f.serveResume)
	mux.HandleFunc("/", f.servePlain)
	return mux
}

// mayRetry uses up one token of the retry budget.
func (f *Front) mayRetry() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget.Retry(f.Clock())
}

func (f *Front) noteRequest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.Request()
}
