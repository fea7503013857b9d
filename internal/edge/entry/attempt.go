package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/plat/fault"
	"valescale/internal/rule/retry"
)

// result is the end of one attempt.
type result struct {
	// ended is set when the caller has got its final answer, or as much as there will be.
	ended  bool
	reason Reason
	// status is the target's, or zero without an answer.
	status int
	// step is how far an attempt without an answer got.
	step retry.Step
	err  error
	took time.Duration
	// broke is set when the target's connection broke before the answer was whole.
	connBroken bool
	// whole is set when the target's answer was seen to come to its end.
	complete bool
	// paid is set when the budget for another attempt is used already.
	budgetUsed bool
}

const (
	// freshOnce is how long a connection may have been idle for a request that must not
	// be sent twice: a target that forgets idle connections does so after seconds.
	maxIdleUnrepeatable = 500 * time.Millisecond
	// freshSafe is that time for requests that may be sent again.
	maxIdleRepeatable = 3 * time.Second
	// answerMargin is kept of a target's time for passing its answer on: a round trip is
	// a few milliseconds.
	targetDeadlineMargin = 20 * time.Millisecond
	// wholeAnswer is the largest body that is read to its end before the caller gets
	// any of it, in bytes, so that its loss can still be mended elsewhere. A longer one is
	// passed on as it comes, which bounds memory.
	maxBufferedAnswer = 256 << 10
)

// attempt sends the request to one target and passes the answer on.
func (h *Handler) attempt(ctx context.Context, w http.ResponseWriter, j *job, placement *route.Placement) result {
	began := h.Clock()
	ctx, idleTimeout := newIdleTimeout(ctx, h.Clock, j.idleTimeout(), j.suspectAfter(), func(since time.Time) { h.reportSilence(j, placement, since) })
	defer idleTimeout.stop()
	answer, err := h.Sender.Send(ctx, h.newExchange(j, placement))
	if err != nil {
		return h.sendFailed(ctx, j, placement, began, err)
	}
	defer answer.Close()
	h.Finder.Heard(placement.Hash)
	idleTimeout.reset(j.idleTimeout())
	j.sends++
	reply := h.Dialect.Reply(answer.Status, answer.Header)
	h.reportNotice(j, placement, answer, reply)
	if reply.NotRun {
		if reply.Elsewhere {
			h.Finder.Unreachable(placement.Hash)
		}
		return result{step: retry.Refused, reason: Refused, status: answer.Status, took: h.Clock().Sub(began)}
	}
	j.runs++
	if h.discardsFailure(j, answer.Status) {
		h.Finder.Report(placement.Hash, false)
		return result{step: retry.Answering, reason: Failed, status: answer.Status, took: h.Clock().Sub(began), budgetUsed: true}
	}
	end := h.forward(w, j, answer, idleTimeout)
	end.took = h.Clock().Sub(began)
	end.connBroken = end.cutOff() && ctx.Err() == nil
	end.complete = end.reason == Served && answer.Framed
	h.reportResult(ctx, placement, end.succeeded())
	return end
}

// observe tells the finder what a target says of itself in an answer.
func (h *Handler) reportNotice(j *job, placement *route.Placement, answer *relay.Answer, reply Reply) {
	if reply.Elsewhere {
		// Another target has the address now, and speaks of itself.
		return
	}
	h.Finder.Observe(placement.Target, route.Notice{
		Request: string(j.call.ID), Status: answer.Status, Leaving: reply.Leaving,
		Backoff: relay.BackoffOf(answer.Status, answer.Header, h.Clock()),
	})
}

// dropsFailure reports whether an answer that tells of the target's failure is dropped:
// only for another try, of which it then uses the budget.
func (h *Handler) discardsFailure(j *job, status int) bool {
	return status >= http.StatusInternalServerError && j.mayRepeat() && h.Budget.Retry(j.service, h.Clock())
}

// good reports whether the target answered as it should.
func (r result) succeeded() bool {
	return r.ended && r.reason != CutOff && r.status < http.StatusInternalServerError
}

// brokeOff reports whether an answer that had begun did not come to its end.
func (r result) cutOff() bool { return r.err != nil && (r.reason == Lost || r.reason == CutOff) }

// silent notes that a target has sent nothing for too long. A router that was held up
// itself blames nobody.
func (h *Handler) reportSilence(j *job, placement *route.Placement, since time.Time) {
	if h.Clock().Sub(since)-j.suspectAfter() > relay.HeldUpAfter {
		return
	}
	if h.Finder.Silent(placement.Hash, since) {
		_ = level.Info(h.Logger).Log("msg", "target is silent", "request", j.call.ID,
			"target", placement.Target.ID, "silence_ms", j.suspectAfter().Milliseconds())
	}
}

// mayRepeat reports whether another attempt at the request is allowed by its route.
func (j *job) mayRepeat() bool {
	return j.route.Repeat == retry.Safe && j.runs < j.route.Attempts
}

// judge tells the finder how a target did; a caller that left, or a router that was held up
// itself, says nothing of it.
func (h *Handler) reportResult(ctx context.Context, placement *route.Placement, ok bool) {
	cause := context.Cause(ctx)
	if !ok && (errors.Is(cause, context.Canceled) || errors.Is(cause, errRouterDelayed)) {
		h.Finder.Cancelled(placement.Hash)
		return
	}
	h.Finder.Report(placement.Hash, ok)
}

// failed is the end of an attempt without an answer's head.
func (h *Handler) sendFailed(ctx context.Context, j *job, placement *route.Placement, began time.Time, err error) result {
	step := relay.StepOf(err)
	reason := Unreachable
	if !retry.Free(step) {
		j.sends++
		j.runs++
		reason = Lost
	}
	switch {
	case relay.Blameless(err):
		// Blamed for what this box lacks, nearly all of a pool got no new work from this
		// router, and the few others more than they had room for.
		h.Finder.Cancelled(placement.Hash)
	case retry.Free(step) && ctx.Err() == nil:
		h.Finder.Unreachable(placement.Hash)
	default:
		h.reportResult(ctx, placement, false)
	}
	if fault.KindOf[relay.Kind](err) == relay.Exhausted {
		reason = Exhausted
	}
	connBroken := step == retry.Sending && ctx.Err() == nil && fault.KindOf[relay.Kind](err) == relay.Broken
	return result{step: step, reason: reason, err: err, took: h.Clock().Sub(began), connBroken: connBroken}
}

// exchange is what the target gets.
func (h *Handler) newExchange(j *job, placement *route.Placement) relay.Exchange {
	header := relay.EndToEnd(j.header)
	holder := ""
	if placement.Holder != nil && j.copiesCache {
		holder = placement.Holder.Addr
	}
	h.Dialect.Write(header, j.call, Order{
		Holder:    holder,
		Left:      j.deadline.Sub(h.Clock()) - targetDeadlineMargin,
		Target:    placement.Target.ID,
		Workspace: j.workspace.Name,
		After:     j.lastEvent,
	})
	fresh := maxIdleUnrepeatable
	if j.route.Repeat == retry.Safe {
		fresh = maxIdleRepeatable
	}
	return relay.Exchange{
		Addr: placement.Target.Addr, Method: j.method, Path: j.path, Host: j.host, Header: header, Body: j.body, Fresh: fresh,
		Keep: h.Rules.IdleConns(j.service),
		Owns: func(got http.Header) bool { return h.Dialect.Owns(got, j.call) },
	}
}

// pass gives an answer to the caller: events as they come, and anything else that is
// short only once it is whole.
func (h *Handler) forward(w http.ResponseWriter, j *job, answer *relay.Answer, idleTimeout *idleTimeout) result {
	if j.route.Stream && answer.Status < http.StatusMultipleChoices {
		return h.forwardEvents(w, j, answer, idleTimeout)
	}
	if j.headSent {
		// The caller has a part of a stream; this answer cannot continue it.
		return result{step: retry.Answering, reason: Lost, status: answer.Status}
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxBufferedAnswer))
	if err != nil {
		return result{step: retry.Answering, reason: Lost, status: answer.Status, err: err}
	}
	if len(body) == maxBufferedAnswer {
		return h.forwardUnbuffered(w, j, answer, body)
	}
	j.first = h.Clock().Sub(j.arrived)
	header := h.copyHeader(w, answer)
	length := int64(len(body))
	if j.method == http.MethodHead && answer.Length > 0 {
		length = answer.Length
	}
	header.Set("Content-Length", strconv.FormatInt(length, 10))
	w.WriteHeader(answer.Status)
	// A caller that has gone needs no answer.
	_ = writeAll(w, body)
	return result{ended: true, reason: Served, status: answer.Status}
}

// passLong passes on an answer that is too long to be kept whole.
func (h *Handler) forwardUnbuffered(w http.ResponseWriter, j *job, answer *relay.Answer, firstPart []byte) result {
	header := h.copyHeader(w, answer)
	if answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	j.headSent = true
	j.first = h.Clock().Sub(j.arrived)
	w.WriteHeader(answer.Status)
	caller := &callerWriter{to: w}
	_, err := io.Copy(caller, io.MultiReader(bytes.NewReader(firstPart), answer))
	switch {
	case caller.failed:
		return result{ended: true, reason: CallerGone, status: answer.Status, err: err}
	case err != nil:
		return result{ended: true, reason: CutOff, status: answer.Status, err: err}
	}
	return result{ended: true, reason: Served, status: answer.Status}
}

// noting notes whether writing failed, which tells a caller that has gone from a target
// that breaks off.
type callerWriter struct {
	to     http.ResponseWriter
	failed bool
}

// Write implements io.Writer.
func (n *callerWriter) Write(p []byte) (int, error) {
	err := writeAll(n.to, p)
	if err != nil {
		n.failed = true
		return 0, err
	}
	return len(p), nil
}

// head copies an answer's headers to the caller, without its length.
func (h *Handler) copyHeader(w http.ResponseWriter, answer *relay.Answer) http.Header {
	header := w.Header()
	for name, values := range relay.EndToEnd(answer.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// The server would guess one.
		header["Content-Type"] = nil
	}
	return header
}
