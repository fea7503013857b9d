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
	"valescale/internal/rule/crash"
	"valescale/internal/rule/match"
	"valescale/internal/rule/pace"
	"valescale/internal/rule/place"
	"valescale/internal/rule/retry"
	"valescale/internal/share/origin"
)

// Finder places requests at targets.
type Finder interface {
	// Acquire waits for a target. The caller must release the placement.
	Acquire(ctx context.Context, request route.TargetRequest) (*route.Placement, error)
	// Report records whether a target answered a request correctly.
	Report(target ident.TargetHash, ok bool)
	// ReportCancelled records the end of a request that gives no evidence about its target.
	ReportCancelled(target ident.TargetHash)
	// ReportReceived records that a target has sent bytes of an answer.
	ReportReceived(target ident.TargetHash)
	// ReportSilent records that a request sent at the given time has received nothing for too long.
	// It reports whether the target has sent nothing to other requests either.
	ReportSilent(target ident.TargetHash, since time.Time) bool
	// ReportUnreachable records that no connection to a target could be made.
	ReportUnreachable(target ident.TargetHash)
	// ReportPace records what an attempt shows about the pace of its target.
	ReportPace(report pace.Report)
	// ReportNotice records the draining state and backoff that a target reported in an answer.
	ReportNotice(target route.Target, n route.Notice)
	// IsLeaving reports whether a target is leaving or is not listed any more.
	IsLeaving(target route.Target) bool
}

// Sender sends requests to targets.
type Sender interface {
	// Send makes one attempt and returns once the answer's head is received.
	Send(ctx context.Context, e relay.Exchange) (*relay.Answer, error)
	// ReportSilent reports that nothing has arrived from the target at an address for longer than
	// usual.
	ReportSilent(addr string)
	// HasEnded reports whether the process of the target at an address is known to have ended. The
	// connection made to find out stays idle, among at most maxIdleConns.
	HasEnded(ctx context.Context, addr string, maxIdleConns int) bool
}

// Guard quarantines requests under which targets crash.
type Guard interface {
	// Quarantine returns the quarantine of a request with the given traits.
	Quarantine(traits []crash.Trait) crash.Quarantine
	// Admit returns the quarantine of a request that is about to be sent, which may be a trial.
	Admit(traits []crash.Trait) crash.Quarantine
	// Abandon ends a trial whose attempt showed nothing.
	Abandon(traits []crash.Trait)
	// ReportInterrupted records an answer that broke off.
	ReportInterrupted(b guard.Interruption)
	// Served records a complete answer to a request with the given traits.
	Served(traits []crash.Trait)
}

// Budget limits the number of retries.
type Budget interface {
	// Request records a caller's request to a service.
	Request(service ident.Service, now time.Time)
	// Retry takes one retry from the service's budget, and reports whether one was available.
	Retry(service ident.Service, now time.Time) bool
	// Usage returns the state of the service's budget, for logs.
	Usage(service ident.Service, now time.Time) retry.Usage
}

// Canaries selects the requests that are sent to the canary version of a service.
type Canaries interface {
	// Choose returns the name used to find a target for the next request: that of the service or
	// that of its canary version.
	Choose(service ident.Service) (as ident.Service)
	// RecordSent records that a target was found under a name.
	RecordSent(service, as ident.Service)
	// Finished records the result of a request to a target that was found under a name.
	Finished(service, as ident.Service, route match.RouteName, ok bool, took time.Duration)
	// NameOf returns the name used to find targets of a version of a service.
	NameOf(service ident.Service, version ident.Version) (as ident.Service)
}

// Origins keeps at which versions streams began.
type Origins interface {
	// Began records the origin of a stream before its first event is sent to the caller.
	Began(r origin.Record)
	// Find returns the origin of a stream of a service.
	Find(ctx context.Context, key origin.Key, service ident.Service) origin.Found
}

// noOrigins is used when targets have no versions. Streams go on at any target.
type noOrigins struct{}

func (noOrigins) Began(origin.Record) {}
func (noOrigins) Find(_ context.Context, _ origin.Key, service ident.Service) origin.Found {
	return origin.Found{Origin: origin.Origin{Service: service}, Source: origin.SingleVersion}
}

// noCanaries is used when there are no canary versions.
type noCanaries struct{}

func (noCanaries) Choose(service ident.Service) ident.Service { return service }
func (noCanaries) NameOf(service ident.Service, _ ident.Version) ident.Service {
	return service
}
func (noCanaries) RecordSent(_, _ ident.Service) {}
func (noCanaries) Finished(_, _ ident.Service, _ match.RouteName, _ bool, _ time.Duration) {
}

// Observer receives the end of each request.
type Observer interface {
	// Ended is called once per request.
	Ended(e End)
	// AnswerEnded is called once per answer of a target that is forwarded.
	AnswerEnded(service ident.Service, ending Ending)
}

// End describes the end of a request.
type End struct {
	Route     match.RouteName
	Service   ident.Service
	Workspace ident.Workspace
	Reason    Reason
	// Status is the status sent to the caller, or zero without an answer.
	Status int
	// Sends is the number of attempts that reached a target.
	Sends int
	// Found is the time until a target was found, First until the first byte of the answer and
	// Total until the end. First and Found are zero if that point was not reached.
	Found time.Duration
	First time.Duration
	Total time.Duration
	// Rule is the rule by which the last target was selected, or zero.
	Rule place.Rule
	// Timely is set if the answer met the objectives of the route.
	Timely bool
}

// Parts contains the dependencies of a handler.
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
	// Gate wraps the listener; nil if there is none.
	Gate *Gate
	// Canaries may be nil.
	Canaries Canaries
	// Origins may be nil.
	Origins Origins
}

// Handler serves the requests of callers.
type Handler struct {
	Parts
	// startedAt is the time at which the handler was created.
	startedAt time.Time
	latency   *latencyEstimates
	// meter measures how long requests usually take.
	meter *pace.Meter
	// invalidPaces limits the log lines about targets that report an invalid pace.
	invalidPaces logged
	// invalidBrittles limits those about targets that report an invalid limit of rejections.
	invalidBrittles logged
	// unreadBytes is the total size of the stream data buffered for slow callers.
	unreadBytes atomic.Int64
}

// New returns a handler.
func New(parts Parts) *Handler {
	if parts.Canaries == nil {
		parts.Canaries = noCanaries{}
	}
	if parts.Origins == nil {
		parts.Origins = noOrigins{}
	}
	return &Handler{Parts: parts, startedAt: parts.Clock(), latency: newLatencyEstimates(), meter: pace.NewMeter(parts.Clock)}
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j, p := h.accept(r)
	j.marksEnd, j.caller = r.ProtoAtLeast(1, 1), callerOf(r.Context())
	if p == nil {
		p = h.readBody(w, r, j)
	}
	if p != nil {
		h.writeProblem(w, j, p)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	h.Budget.Request(j.service, j.arrived)
	if p := j.quarantineProblem(h.Guard.Quarantine(j.traits())); p != nil {
		h.writeProblem(w, j, p)
		return
	}
	if p := h.findOrigin(ctx, j); p != nil {
		h.writeProblem(w, j, p)
		return
	}
	defer func() {
		if j.streamWriter != nil {
			j.streamWriter.close()
		}
	}()
	h.serve(ctx, w, j)
}

// writeProblem ends a request with an answer of the router itself.
func (h *Handler) writeProblem(w http.ResponseWriter, j *job, p *problem) {
	p.write(w)
	h.ended(j, p.reason, p.status)
}

// serve makes attempts until one succeeds or no further attempt is allowed.
func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, j *job) {
	for {
		if callerDisconnected(ctx) {
			h.endCallerGone(j)
			return
		}
		placement, err := h.acquire(ctx, j)
		if err != nil {
			h.endUnplaced(ctx, w, j, err)
			return
		}
		if j.found == 0 {
			j.found = h.Clock().Sub(j.arrived)
		}
		j.lastPlacement = placement
		if h.endBeforeSending(ctx, w, j, placement) {
			return
		}
		result := h.send(ctx, w, j, placement)
		if result.ended {
			h.ended(j, result.reason, result.status)
			abortConnection(j, result.reason)
			j.caller.setResetOnClose(false)
			return
		}
		if !h.shouldRetry(ctx, j, placement, result) {
			h.endFailed(ctx, w, j, result)
			return
		}
	}
}

// endBeforeSending ends a request that must not be sent to the target that was found, and reports whether it did:
// its caller has disconnected, or targets have crashed under it, while the target was sought.
func (h *Handler) endBeforeSending(ctx context.Context, w http.ResponseWriter, j *job, placement *route.Placement) bool {
	if callerDisconnected(ctx) {
		placement.Release()
		h.endCallerGone(j)
	}
	admission := h.Guard.Admit(j.traits())
	j.trial = admission.Trial
	p := j.quarantineProblem(admission)
	if p == nil {
		return false
	}
	placement.Release()
	h.endWithProblem(w, j, p)
	return true
}

// send makes an attempt at a target, releases the placement and reports the result.
func (h *Handler) send(ctx context.Context, w http.ResponseWriter, j *job, placement *route.Placement) result {
	began := h.Clock()
	result := h.attempt(ctx, w, j, placement)
	placement.Release()
	h.reportToGuard(j, placement, result)
	h.reportCanary(j, result)
	if result.succeeded() && j.sends == 1 {
		h.latency.add(j.route.Name, j.arrived.Add(j.first).Sub(began))
	}
	return result
}

// acquire finds a target. The first attempt may use the canary version if one of its targets has a
// free slot. A stream that has begun stays at its version.
func (h *Handler) acquire(ctx context.Context, j *job) (*route.Placement, error) {
	if j.versionUnknown {
		return nil, errVersion
	}
	placementRequest := j.placementRequest(h.latency.firstByteTime(j.route.Name))
	placementRequest.Effort = h.meter.Effort(j.service, pace.Kind(j.route.Name), j.size())
	j.lookupName = j.service
	switch {
	case j.version != "":
		j.lookupName = h.Canaries.NameOf(j.service, j.version)
	case j.sends+j.unreached == 0:
		j.lookupName = h.Canaries.Choose(j.service)
	}
	placementRequest.Service, placementRequest.Version = j.lookupName, j.version
	placement, err := h.Finder.Acquire(ctx, placementRequest)
	if err != nil && j.lookupName != j.service {
		j.lookupName, placementRequest.Service = j.service, j.service
		placement, err = h.Finder.Acquire(ctx, placementRequest)
	}
	if err != nil {
		return nil, err
	}
	if err := h.checkVersion(j, placement.Target); err != nil {
		placement.Release()
		return nil, err
	}
	h.Canaries.RecordSent(j.service, j.lookupName)
	return placement, nil
}

// reportCanary reports the result of an attempt for the canary decision. An attempt whose caller
// disconnected or did not read gives no evidence and is skipped, as is one that the target
// rejected.
func (h *Handler) reportCanary(j *job, attempt result) {
	if attempt.reason == CallerGone || attempt.reason == Unread || attempt.step == retry.Refused && !attempt.ended {
		return
	}
	h.Canaries.Finished(j.service, j.lookupName, j.route.Name, attempt.succeeded(), attempt.took)
}

// quarantineProblem returns the problem for a quarantined request, or nil. Such a request would
// crash its target, with all other requests that run there, and still get no answer.
func (j *job) quarantineProblem(quarantine crash.Quarantine) *problem {
	if quarantine.Left == 0 {
		return nil
	}
	j.quarantinedFor = quarantine.Trait
	if j.outcome == retry.Unknown {
		return noAnswer(j.outcome, Quarantined, false)
	}
	return rejection(Quarantined, quarantine.Left)
}

// reportToGuard reports broken connections and complete answers, from which the guard detects
// requests under which targets crash. An answer without a marked end shows that the target can work on the
// parts of the prompt. It shows that of the whole request, which may have crashed the target late, only in a
// trial.
func (h *Handler) reportToGuard(j *job, placement *route.Placement, attempt result) {
	answered := attempt.reason == Served && attempt.status < http.StatusMultipleChoices
	switch {
	case attempt.connBroken:
		h.Guard.ReportInterrupted(guard.Interruption{
			Request: string(j.call.ID), Traits: j.traits(), Trial: j.trial, Workspace: j.workspace.Name, Route: j.route.Name,
			Target: placement.Target, Ran: attempt.took,
		})
	case attempt.complete || answered && j.trial:
		h.Guard.Served(j.traits())
	case answered:
		h.Guard.Served(j.traits()[1:])
	case j.trial:
		h.Guard.Abandon(j.traits())
	}
}

// endCallerGone ends a request whose caller has disconnected. A caller that has only ended its own side of the
// connection may still read, and must not take what it gets for the end of an answer. It does not return.
func (h *Handler) endCallerGone(j *job) {
	h.ended(j, CallerGone, 0)
	abortConnection(j, CallerGone)
}

// endUnplaced ends a request for which no target was found.
func (h *Handler) endUnplaced(ctx context.Context, w http.ResponseWriter, j *job, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		h.endCallerGone(j)
		return
	}
	p := placementProblem(err)
	j.placementErr = err
	if j.outcome == retry.Unknown {
		p = noAnswer(j.outcome, p.reason, false)
	}
	h.endWithProblem(w, j, p)
}

// endFailed ends a request whose last attempt failed.
func (h *Handler) endFailed(ctx context.Context, w http.ResponseWriter, j *job, attempt result) {
	if errors.Is(ctx.Err(), context.Canceled) {
		h.endCallerGone(j)
		return
	}
	h.endWithProblem(w, j, noAnswer(j.outcome, attempt.reason, ctx.Err() != nil))
}

// endWithProblem sends a final answer of the router itself. If a part of a target's answer has
// already been sent, only closing the connection can signal the failure to the caller.
func (h *Handler) endWithProblem(w http.ResponseWriter, j *job, p *problem) {
	if j.headSent {
		h.ended(j, CutOff, 0)
		abortConnection(j, CutOff)
		return
	}
	h.writeProblem(w, j, p)
}

// abortConnection closes the caller's connection if the answer was cut off or is not read, or if the caller
// has disconnected. It does not return then, so it must be called last, after the placement has been released.
func abortConnection(j *job, reason Reason) {
	if reason != CutOff && reason != Unread && reason != CallerGone {
		return
	}
	if !j.marksEnd {
		// A connection that is closed in order would be the end of the answer.
		j.caller.waitDelivery()
		j.caller.setResetOnClose(true)
	}
	panic(http.ErrAbortHandler)
}
