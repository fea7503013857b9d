package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/edge/route"
	"valescale/internal/rule/pace"
	"valescale/internal/rule/quota"
	"valescale/internal/rule/retry"
)

// Handler serves the requests of callers.
type Handler struct {
	Parts
	// startedAt is the time at which the handler was created.
	startedAt time.Time
	// writeTimeout is how long a write to a caller may make no progress.
	writeTimeout time.Duration
	latency      *latencyEstimates
	// meter measures how long requests usually take.
	meter *pace.Meter
	// invalidPaces limits the log lines about targets that report an invalid pace.
	invalidPaces logged
	// invalidBrittles limits those about targets that report an invalid limit of rejections.
	invalidBrittles logged
	// processes follows the processes of leaving targets.
	processes *processWatches
	// memoryDelays are the delays of requests that were refused for want of memory.
	memoryDelays quota.SizeDelays
}

// New returns a handler.
func New(parts Parts) *Handler {
	if parts.Canaries == nil {
		parts.Canaries = noCanaries{}
	}
	if parts.Origins == nil {
		parts.Origins = noOrigins{}
	}
	return &Handler{
		Parts: parts, startedAt: parts.Clock(), writeTimeout: callerWriteTimeout, latency: newLatencyEstimates(), meter: pace.NewMeter(parts.Clock),
		processes: newProcessWatches(parts.Sender, parts.Clock, parts.Logger),
	}
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j, p := h.accept(r)
	j.marksEnd, j.caller = r.ProtoAtLeast(1, 1), callerOf(r.Context())
	if p == nil {
		p = h.readBody(w, r, j)
	}
	if p == nil {
		p = h.stopProblem(j)
	}
	defer j.body.Close()
	if p != nil {
		h.refuse(w, r, j, p)
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
	defer func() {
		j.next.release()
		j.sent.close()
		j.kept.close()
	}()
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
		if j.sent == nil && h.endBeforeSending(ctx, w, j, placement) {
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
	if placement := h.takeNext(j); placement != nil {
		return placement, nil
	}
	placementRequest := j.placementRequest(h.Clock(), h.latency.firstByteTime(j.route.Name))
	placementRequest.Effort = h.meter.Effort(j.service, pace.Kind(j.route.Name), j.size())
	switch {
	case j.version != "":
		j.lookupName = h.Canaries.NameOf(j.service, j.version)
	case j.sends+j.unreached == 0:
		j.lookupName = h.Canaries.Choose(j.service)
	default:
		j.lookupName = h.Canaries.Default(j.service)
	}
	placementRequest.Service, placementRequest.Version = j.lookupName, j.version
	j.lastRequest = placementRequest
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

// takeNext returns the target for which the previous attempt was given up, or nil if there is none or it must not
// be used any more.
func (h *Handler) takeNext(j *job) *route.Placement {
	next := j.next
	j.next = nil
	if next == nil {
		return nil
	}
	if h.checkVersion(j, next.placement.Target) != nil {
		h.endNext(j, next)
		return nil
	}
	j.lookupName, j.sent, j.trial = next.lookupName, next.request, next.trial
	h.Canaries.RecordSent(j.service, j.lookupName)
	return next.placement
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

// endWithProblem sends a final answer of the router itself, or in its place a failure of a target that was kept. If a
// part of a target's answer has already been sent, only closing the connection can signal the failure to the caller.
func (h *Handler) endWithProblem(w http.ResponseWriter, j *job, p *problem) {
	if j.headSent {
		reason := CutOff
		if p.reason == NoMemory {
			reason = NoMemory
		}
		h.ended(j, reason, 0)
		abortConnection(j, reason)
		return
	}
	if j.kept != nil {
		h.sendKept(w, j)
		return
	}
	h.writeProblem(w, j, p)
}

// abortConnection closes the caller's connection if the answer was cut off or is not read, or if the caller
// has disconnected. It does not return then, so it must be called last, after the placement has been released.
func abortConnection(j *job, reason Reason) {
	switch reason {
	case CutOff, Unread, NoMemory, CallerGone:
	default:
		return
	}
	if !j.marksEnd {
		if j.streamWriter != nil {
			j.streamWriter.wait()
		}
		// A connection that is closed in order would be the end of the answer.
		j.caller.waitDelivery()
		j.caller.setResetOnClose(true)
	}
	panic(http.ErrAbortHandler)
}
