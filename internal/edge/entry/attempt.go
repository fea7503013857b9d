package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/plat/fault"
	"valescale/internal/rule/retry"
)

// result is the result of one attempt.
type result struct {
	// ended is set when the caller has received its final answer, or all of it that can be
	// delivered.
	ended  bool
	reason Reason
	// status is the target's HTTP status, or zero without an answer.
	status int
	// step is the last step that an attempt without an answer reached.
	step retry.Step
	err  error
	took time.Duration
	// connBroken is set when the connection to the target broke before the end of the answer.
	connBroken bool
	// complete is set when a successful answer was received up to an end that its framing marks.
	complete bool
	// unconfirmed is set when the answer is cut off for its caller only because its end is not marked.
	unconfirmed bool
	// budgetUsed is set when a retry was already taken from the retry budget.
	budgetUsed bool
}

const (
	// maxIdleUnrepeatable is the maximum idle time of a connection used for a request that must
	// not be sent twice. Targets close idle connections after some seconds.
	maxIdleUnrepeatable = 500 * time.Millisecond
	// maxIdleRepeatable is the maximum idle time for requests that may be sent again.
	maxIdleRepeatable = 3 * time.Second
	// targetDeadlineMargin is subtracted from the target's deadline so that its answer can still
	// be forwarded. A round trip takes a few milliseconds.
	targetDeadlineMargin = 20 * time.Millisecond
)

// attempt sends the request to one target and forwards the answer. A request may have been sent there before.
func (h *Handler) attempt(ctx context.Context, w http.ResponseWriter, j *job, placement *route.Placement) result {
	sent := j.takeSent()
	defer sent.close()
	began := sent.beganAt(h.Clock())
	j.progress = progress{}
	ctx, idleTimeout := h.watchSilence(ctx, j, placement)
	defer idleTimeout.stop()
	answer, err := h.receiveHead(ctx, j, placement, sent, idleTimeout)
	if err != nil {
		return h.sendFailed(ctx, j, placement, began, err)
	}
	defer answer.Close()
	reply := h.recordHead(j, placement, answer)
	if reply.NotRun {
		return h.newRefused(answer, began)
	}
	if h.discardsFailure(j, answer.Status) {
		h.keepFailure(j, answer, idleTimeout)
		return h.newFailed(placement, answer, began)
	}
	idleTimeout.reset(j.idleTimeoutAfter(j.runs))
	received := receivedAnswer{Answer: answer, progress: &j.progress, watched: &watchedAnswer{open: answer.Open}, idleTimeout: idleTimeout}
	defer received.watched.leave()
	h.watchProcess(j, received)
	end := h.forward(ctx, w, j, received, idleTimeout)
	end.took = h.Clock().Sub(began)
	if j.progress.ending == "" {
		j.progress.ending = EndUnread
	}
	h.Observer.AnswerEnded(j.service, j.progress.ending)
	end.connBroken = end.cutOff() && ctx.Err() == nil
	end.complete = end.reason == Served && answer.Framing.Marked() && answer.Status < http.StatusMultipleChoices
	// A box without memory gives no evidence about the target.
	h.reportResult(ctx, placement, end.succeeded() || end.reason == NoMemory)
	if j.comparable(end) {
		h.measure(j, placement, began, end.took)
	}
	return end
}

// receiveHead sends the request, unless it was sent before, and returns once the answer's head is received.
func (h *Handler) receiveHead(ctx context.Context, j *job, placement *route.Placement, sent *sentRequest, idleTimeout *idleTimeout) (*relay.Answer, error) {
	headSent := j.headSent
	if sent != nil {
		// The request ends with the attempt.
		context.AfterFunc(ctx, sent.cancel)
		gaveUp := idleTimeout.run(func() bool {
			<-sent.done
			return h.canContinue(headSent, sent.answer, sent.err)
		})
		if gaveUp != nil {
			return nil, gaveUp
		}
		return sent.take()
	}
	var answer *relay.Answer
	var err error
	exchange := h.newExchange(j, placement)
	gaveUp := idleTimeout.run(func() bool {
		answer, err = h.Sender.Send(ctx, exchange)
		return h.canContinue(headSent, answer, err)
	})
	if gaveUp != nil && answer != nil {
		answer.Close()
		return nil, gaveUp
	}
	return answer, err
}

// recordHead records what the head of an answer says about its target, and whether the request may have run there.
func (h *Handler) recordHead(j *job, placement *route.Placement, answer *relay.Answer) Reply {
	j.via = answer.Via()
	j.sends++
	reply := h.Dialect.Reply(answer.Status, answer.Header)
	if !reply.AddressReassigned {
		h.Finder.ReportReceived(placement.Hash)
	}
	h.reportNotice(j, placement, answer, reply)
	j.progress.framing = answer.Framing
	h.reportPace(j, placement, reply)
	switch {
	case !reply.NotRun:
		j.runs++
	case reply.AddressReassigned:
		h.Finder.ReportUnreachable(placement.Hash)
	}
	return reply
}

// newRefused returns the result of an attempt that its target rejected.
func (h *Handler) newRefused(answer *relay.Answer, began time.Time) result {
	return result{step: retry.Refused, reason: Refused, status: answer.Status, took: h.Clock().Sub(began)}
}

// newFailed reports a target that answered with a 5xx, and returns the result of the attempt. A retry was taken for it.
func (h *Handler) newFailed(placement *route.Placement, answer *relay.Answer, began time.Time) result {
	h.Finder.Report(placement.Hash, false)
	return result{step: retry.Answering, reason: Failed, status: answer.Status, took: h.Clock().Sub(began), budgetUsed: true}
}

// watchSilence returns a context for an attempt that is cancelled if its target is silent and another attempt takes its place.
func (h *Handler) watchSilence(ctx context.Context, j *job, placement *route.Placement) (context.Context, *idleTimeout) {
	base := ctx
	parts := idleParts{
		clock: h.Clock, limit: j.idleTimeout(), suspectAfter: j.suspectAfter(),
		report: func(since time.Time) { h.reportSilence(j, placement, since) },
	}
	j.successor = nil
	if parts.limit > 0 {
		j.successor = h.newSuccessor(j, placement)
		parts.successor = j.successor
		parts.begin = func(next *certainAttempt, spoke <-chan struct{}) bool { return h.beginNext(base, j, next, spoke) }
	}
	return newIdleTimeout(ctx, parts)
}

// reportNotice reports the target's status, draining state and backoff from an answer to the
// finder.
func (h *Handler) reportNotice(j *job, placement *route.Placement, answer *relay.Answer, reply Reply) {
	if reply.AddressReassigned {
		// The answer comes from another target that now uses the address.
		return
	}
	h.Finder.ReportNotice(placement.Target, route.Notice{
		Request: string(j.call.ID), Status: answer.Status, Leaving: reply.Leaving,
		Backoff: max(relay.BackoffOf(answer.Status, answer.Header, h.Clock()), h.recordBrittle(j, placement, answer.Status, reply)),
	})
}

// brittleBackoff is how long a brittle target that had to reject a request receives no others from this
// router: the period in which its rejections count.
const brittleBackoff = time.Second

// recordBrittle records a target that reports that it is brittle, and returns the backoff that it needs
// after an answer with the given status.
func (h *Handler) recordBrittle(j *job, placement *route.Placement, status int, reply Reply) time.Duration {
	if reply.BadBrittle && h.invalidBrittles.first(placement.Target.ID) {
		_ = level.Warn(h.Logger).Log("msg", "target reported an invalid limit of rejections", "request", j.call.ID,
			"target", placement.Target.ID)
	}
	if !reply.Brittle {
		return 0
	}
	h.Rules.ReportBrittle(j.service)
	if !reply.NotRun || status != http.StatusServiceUnavailable {
		return 0
	}
	return brittleBackoff
}

// discardsFailure reports whether a 5xx answer is discarded in favor of a retry. If so, a retry
// has been taken from the budget.
func (h *Handler) discardsFailure(j *job, status int) bool {
	return status >= http.StatusInternalServerError && j.mayRepeat() && h.Budget.Retry(j.service, h.Clock())
}

// succeeded reports whether the target answered correctly.
func (r result) succeeded() bool {
	return r.ended && (r.reason != CutOff || r.unconfirmed) && r.status < http.StatusInternalServerError
}

// cutOff reports whether an answer ended before it was complete.
func (r result) cutOff() bool { return r.err != nil && (r.reason == Lost || r.reason == CutOff) }

// reportSilence reports a target that has sent nothing for too long. If this router itself was
// delayed, the target is not reported.
func (h *Handler) reportSilence(j *job, placement *route.Placement, since time.Time) {
	if h.Clock().Sub(since)-j.suspectAfter() > relay.LocalDelayThreshold {
		return
	}
	if h.Finder.ReportSilent(placement.Hash, since) {
		h.Sender.ReportSilent(placement.Target.Addr)
		_ = level.Info(h.Logger).Log("msg", "target sent no data within the expected time", "request", j.call.ID,
			"target", placement.Target.ID, "silence_ms", j.suspectAfter().Milliseconds())
	}
}

// mayRepeat reports whether the route allows another attempt.
func (j *job) mayRepeat() bool {
	return j.route.Repeat == retry.Safe && j.runs < j.route.Attempts
}

// reportResult reports the result of a request to the finder. If the caller disconnected, the result gives no
// evidence about the target and the request is reported as cancelled.
func (h *Handler) reportResult(ctx context.Context, placement *route.Placement, ok bool) {
	cause := context.Cause(ctx)
	if !ok && errors.Is(cause, context.Canceled) {
		h.Finder.ReportCancelled(placement.Hash)
		return
	}
	if !ok && errors.Is(cause, errTargetSilent) {
		h.Finder.ReportGivenUp(placement.Hash)
		return
	}
	h.Finder.Report(placement.Hash, ok)
}

// sendFailed returns the result of an attempt that failed before the answer's head was received.
func (h *Handler) sendFailed(ctx context.Context, j *job, placement *route.Placement, began time.Time, err error) result {
	step := relay.StepOf(err)
	reason := Unreachable
	if !retry.IsFree(step) {
		j.sends++
		j.runs++
		reason = Lost
	}
	switch {
	case relay.IsLocalFailure(err):
		// The failure is local to this box. Reporting it as a target failure would exclude nearly
		// all targets of a pool from new work of this router and overload the rest.
		h.Finder.ReportCancelled(placement.Hash)
	case retry.IsFree(step) && ctx.Err() == nil:
		h.Finder.ReportUnreachable(placement.Hash)
	default:
		h.reportResult(ctx, placement, false)
	}
	if fault.KindOf[relay.Kind](err) == relay.Exhausted {
		reason = Exhausted
	}
	connBroken := step == retry.Sending && ctx.Err() == nil && fault.KindOf[relay.Kind](err) == relay.Broken
	return result{step: step, reason: reason, err: err, took: h.Clock().Sub(began), connBroken: connBroken}
}

// newExchange builds the request that is sent to the target.
func (h *Handler) newExchange(j *job, placement *route.Placement) relay.Exchange {
	header := relay.EndToEnd(j.header)
	holder := ""
	if placement.Holder != nil && j.copiesCache {
		holder = placement.Holder.Addr
	}
	h.Dialect.Write(header, j.call, TargetHeaders{
		Holder:    holder,
		Timeout:   j.deadline.Sub(h.Clock()) - targetDeadlineMargin,
		Target:    placement.Target.ID,
		Workspace: j.workspace.Name,
		LastEvent: j.lastEvent,
	})
	maxIdle := maxIdleUnrepeatable
	if j.route.Repeat == retry.Safe {
		maxIdle = maxIdleRepeatable
	}
	return relay.Exchange{
		Addr: placement.Target.Addr, Method: j.method, Path: j.path, Host: j.host, Header: header, Body: j.body.Segments(), MaxIdleTime: maxIdle,
		MaxIdleConns: h.Rules.IdleConns(j.service),
		Matches:      func(got http.Header) bool { return h.Dialect.Matches(got, j.call) },
	}
}
