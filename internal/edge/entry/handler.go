package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"valescale/internal/edge/guard"
	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/match"
	"valescale/internal/rule/retry"
)

// Finder finds targets.
type Finder interface {
	// Acquire waits for a target; its placement must be released.
	Acquire(ctx context.Context, ask route.Ask) (*route.Placement, error)
	// Report notes whether a target answered a request as it should.
	Report(target ident.TargetHash, ok bool)
	// Cancelled notes that a request ended without telling anything of its target.
	Cancelled(target ident.TargetHash)
	// Heard notes that bytes of an answer came from a target.
	Heard(target ident.TargetHash)
	// Silent notes that a request sent at some time has had no answer for too long, and
	// reports whether nothing else came from its target either.
	Silent(target ident.TargetHash, since time.Time) bool
	// Unreachable notes that a target could not be reached at all.
	Unreachable(target ident.TargetHash)
	// Observe takes in what a target said of itself in an answer.
	Observe(target route.Target, n route.Notice)
}

// Sender makes attempts.
type Sender interface {
	// Send makes one attempt and returns once the answer's head is there.
	Send(ctx context.Context, e relay.Exchange) (*relay.Answer, error)
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

// Budget limits how many requests are sent more than once.
type Budget interface {
	// Request notes a caller's request to a service.
	Request(service ident.Service, now time.Time)
	// Retry uses one of the service's retries if there is one.
	Retry(service ident.Service, now time.Time) bool
}

// Trials choose the requests that try a version of a service which is on trial.
type Trials interface {
	// Choose returns the name under which the next request's target is sought: the service's own, or that of the
	// version on trial.
	Choose(service ident.Service) (as ident.Service)
	// Sent notes that a target was found under a name.
	Sent(service, as ident.Service)
	// Answered notes how a target answered that was found under a name.
	Answered(service, as ident.Service, route match.RouteName, ok bool, took time.Duration)
}

// noTrials is where nothing is ever on trial.
type noTrials struct{}

func (noTrials) Choose(service ident.Service) ident.Service { return service }
func (noTrials) Sent(_, _ ident.Service)                    {}
func (noTrials) Answered(_, _ ident.Service, _ match.RouteName, _ bool, _ time.Duration) {
}

// Observer is told of each request's end.
type Observer interface {
	// Ended is called once a request.
	Ended(e End)
}

// End is one request's end.
type End struct {
	Route     match.RouteName
	Service   ident.Service
	Workspace ident.Workspace
	Reason    Reason
	// Status is what the caller got, or zero without an answer.
	Status int
	// Sends counts the attempts that reached a target.
	Sends int
	// Found is until a target was found, First until the answer's first byte, Whole
	// until the end; zero if it did not come to that.
	Found time.Duration
	First time.Duration
	Whole time.Duration
}

// Parts are what a handler works with.
type Parts struct {
	Dialect  Dialect
	Rules    Rules
	Finder   Finder
	Sender   Sender
	Budget   Budget
	Guard    Guard
	Observer Observer
	Logger   log.Logger
	Clock    ident.Clock
	// Gate is in front of the listener; nil if there is none.
	Gate *Gate
	// Trials may be nil.
	Trials Trials
}

// Handler serves callers.
type Handler struct {
	Parts
	// started is when the handler was made.
	started  time.Time
	expected *expectations
	// unread is what waits for callers that read slowly, in bytes.
	unread atomic.Int64
}

// New returns a handler.
func New(parts Parts) *Handler {
	if parts.Trials == nil {
		parts.Trials = noTrials{}
	}
	return &Handler{Parts: parts, started: parts.Clock(), expected: newExpectations()}
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j, p := h.accept(r)
	if p == nil {
		p = h.readBody(w, r, j)
	}
	if p != nil {
		h.answer(w, j, p)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.limit)
	defer cancel()
	h.Budget.Request(j.service, j.arrived)
	if p := h.held(j); p != nil {
		h.answer(w, j, p)
		return
	}
	defer func() {
		if j.outbox != nil {
			j.outbox.close()
		}
	}()
	h.serve(ctx, w, j)
}

// answer ends a request with an answer of the router's own.
func (h *Handler) answer(w http.ResponseWriter, j *job, p *problem) {
	p.write(w)
	h.ended(j, p.reason, p.status)
}

// serve makes attempts until one brings an answer or none may follow.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, j *job) {
	for {
		if h.left(ctx, j) {
			return
		}
		placement, err := h.acquire(ctx, j)
		if err != nil {
			h.notPlaced(ctx, w, j, err)
			return
		}
		if j.found == 0 {
			j.found = h.Clock().Sub(j.arrived)
		}
		j.placed = placement
		if h.left(ctx, j) {
			placement.Release()
			return
		}
		if p := h.held(j); p != nil {
			placement.Release()
			h.finish(w, j, p)
			return
		}
		began := h.Clock()
		result := h.attempt(ctx, w, j, placement)
		placement.Release()
		h.tellGuard(j, placement, result)
		h.tellTrials(j, result)
		if result.good() && j.sends == 1 {
			h.expected.note(j.route.Name, j.arrived.Add(j.first).Sub(began))
		}
		if result.ended {
			h.ended(j, result.reason, result.status)
			abortCutOff(result.reason)
			return
		}
		if !h.again(ctx, j, placement, result) {
			h.giveUp(ctx, w, j, result)
			return
		}
	}
}

// acquire finds a target. A first attempt may try a version on trial, if a target of it has room.
func (h *Handler) acquire(ctx context.Context, j *job) (*route.Placement, error) {
	ask := j.ask(h.expected.of(j.route.Name))
	j.as = j.service
	if j.sends+j.free == 0 {
		j.as = h.Trials.Choose(j.service)
	}
	ask.Service = j.as
	placement, err := h.Finder.Acquire(ctx, ask)
	if err != nil && j.as != j.service {
		j.as, ask.Service = j.service, j.service
		placement, err = h.Finder.Acquire(ctx, ask)
	}
	if err == nil {
		h.Trials.Sent(j.service, j.as)
	}
	return placement, err
}

// tellTrials tells how a target answered. Of a caller that left, or was not read from, nothing can be said.
func (h *Handler) tellTrials(j *job, got result) {
	if got.reason == CallerGone || got.reason == Unread || got.step == retry.Refused && !got.ended {
		return
	}
	h.Trials.Answered(j.service, j.as, j.route.Name, got.good(), got.took)
}

// held is the answer to a request under which targets end. Sent on, it would take one along and all that
// runs there, and still not be answered.
func (h *Handler) held(j *job) *problem {
	wait := h.Guard.HeldFor(j.fingerprint())
	switch {
	case wait == 0:
		return nil
	case j.outcome == retry.Unknown:
		return unanswered(j.outcome, EndsTargets, false)
	default:
		return refusal(EndsTargets, wait)
	}
}

// tellGuard tells of an attempt what shows whether targets end under the request.
func (h *Handler) tellGuard(j *job, placement *route.Placement, got result) {
	switch {
	case got.broke:
		h.Guard.Broke(guard.Break{
			Request: string(j.call.ID), Fingerprint: j.fingerprint(), Target: placement.Target, Ran: got.took,
		})
	case got.whole:
		h.Guard.Served(j.fingerprint())
	}
}

// left ends a request whose caller has left, and reports whether it has.
func (h *Handler) left(ctx context.Context, j *job) bool {
	if !callerLeft(ctx) {
		return false
	}
	h.ended(j, CallerGone, 0)
	return true
}

// notPlaced ends a request for which there is no target.
func (h *Handler) notPlaced(ctx context.Context, w http.ResponseWriter, j *job, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		h.ended(j, CallerGone, 0)
		return
	}
	p := fromFinder(err)
	j.refused = err
	if j.outcome == retry.Unknown {
		p = unanswered(j.outcome, p.reason, false)
	}
	h.finish(w, j, p)
}

// giveUp ends a request whose last attempt brought no answer.
func (h *Handler) giveUp(ctx context.Context, w http.ResponseWriter, j *job, last result) {
	if errors.Is(ctx.Err(), context.Canceled) {
		h.ended(j, CallerGone, 0)
		return
	}
	h.finish(w, j, unanswered(j.outcome, last.reason, ctx.Err() != nil))
}

// finish gives a final answer of the router's own, unless a part of a target's answer
// has gone out: then only the connection's end can tell the caller.
func (h *Handler) finish(w http.ResponseWriter, j *job, p *problem) {
	if j.started {
		h.ended(j, CutOff, 0)
		abortCutOff(CutOff)
		return
	}
	h.answer(w, j, p)
}

// abortCutOff closes the caller's connection under an answer that was cut off, or that it does not read. It comes
// last: it does not return, and by then the place at the target must be given back.
func abortCutOff(reason Reason) {
	if reason == CutOff || reason == Unread {
		panic(http.ErrAbortHandler)
	}
}
