package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/retry"
)

// maxOverlap limits how long a request is at a silent target and at the next one: targets must not work on a request
// together for more than 400 ms, and the first one learns of its end a little later.
const maxOverlap = 350 * time.Millisecond

// sentRequest is a request that was sent to a target beside the current attempt.
type sentRequest struct {
	ctx    context.Context
	cancel context.CancelFunc
	began  time.Time
	// done is closed once the head of the answer is received, or an error.
	done   chan struct{}
	answer *relay.Answer
	err    error
}

// sendBeside sends the request of a job to a target beside the current attempt.
func (h *Handler) sendBeside(ctx context.Context, j *job, placement *route.Placement) *sentRequest {
	s := &sentRequest{began: h.Clock(), done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(ctx)
	exchange := h.newExchange(j, placement)
	go func() {
		defer close(s.done)
		s.answer, s.err = h.Sender.Send(s.ctx, exchange)
	}()
	return s
}

// take returns the result, which is the caller's to close from then on.
func (s *sentRequest) take() (*relay.Answer, error) {
	answer := s.answer
	s.answer = nil
	return answer, s.err
}

// close cancels the request and closes its answer. It may be called without a request.
func (s *sentRequest) close() {
	if s == nil {
		return
	}
	s.cancel()
	<-s.done
	if s.answer != nil {
		s.answer.Close()
	}
}

// beganAt returns when the request was sent, or the given time without a request.
func (s *sentRequest) beganAt(now time.Time) time.Time {
	if s == nil {
		return now
	}
	return s.began
}

// takeSent returns the request that was sent to the target of the attempt before it began, or nil.
func (j *job) takeSent() *sentRequest {
	sent := j.sent
	j.sent = nil
	return sent
}

// attemptState is the part of a job that belongs to its current attempt.
type attemptState struct {
	progress         progress
	via              ident.Router
	lookupName       ident.Service
	trial            bool
	versionConfirmed bool
}

// attemptState returns the state of the current attempt.
func (j *job) attemptState() attemptState {
	return attemptState{j.progress, j.via, j.lookupName, j.trial, j.versionConfirmed}
}

// setAttemptState sets the state of the current attempt.
func (j *job) setAttemptState(s attemptState) {
	j.progress, j.via, j.lookupName, j.trial, j.versionConfirmed = s.progress, s.via, s.lookupName, s.trial, s.versionConfirmed
}

// beginNext sends the request to the next target while the current one is silent, and reports whether the current attempt
// is to be given up for it: the next target has answered, or has worked on the request for as long as both may. If it
// fails, or if the silent target brings its answer further first, the current attempt goes on.
func (h *Handler) beginNext(ctx context.Context, j *job, next *certainAttempt, spoke <-chan struct{}) bool {
	current := j.attemptState()
	if !h.admitNext(j, next) {
		next.release()
		j.setAttemptState(current)
		return false
	}
	next.request = h.sendBeside(ctx, j, next.placement)
	overlap := time.NewTimer(maxOverlap)
	defer overlap.Stop()
	takesOver := false
	select {
	case <-next.request.done:
		takesOver = h.canContinue(j.headSent, next.request.answer, next.request.err)
	case <-spoke:
	case <-ctx.Done():
	case <-overlap.C:
		takesOver = true
	}
	if takesOver {
		next.trial = j.trial
		j.next = next
	} else {
		h.endNext(j, next)
	}
	// What is reported from here on is the current attempt's, also if it is given up.
	j.setAttemptState(current)
	return takesOver
}

// admitNext reports whether the request may be sent to the next target, and makes its attempt the current one.
func (h *Handler) admitNext(j *job, next *certainAttempt) bool {
	if h.checkVersion(j, next.placement.Target) != nil {
		return false
	}
	admission := h.Guard.Admit(j.traits())
	j.trial, j.lookupName, j.progress = admission.Trial, next.lookupName, progress{}
	return admission.Left == 0
}

// canContinue reports whether the answer to a request, or the error, can be that of the whole request. If a head was sent to the
// caller, only a success can.
func (h *Handler) canContinue(headSent bool, answer *relay.Answer, err error) bool {
	switch {
	case err != nil:
		return false
	case headSent && answer.Status >= http.StatusMultipleChoices:
		return false
	default:
		return answer.Status < http.StatusInternalServerError && !h.Dialect.Reply(answer.Status, answer.Header).NotRun
	}
}

// errPreviousGoesOn ends an attempt that was begun for a silent target which goes on.
var errPreviousGoesOn = errors.New("silent target of the attempt before goes on")

// endNext ends a next attempt that has failed, or that is not needed any more, and reports its result.
func (h *Handler) endNext(j *job, next *certainAttempt) {
	runs := j.runs
	h.Canaries.RecordSent(j.service, next.lookupName)
	result := h.resultOfNext(j, next)
	next.release()
	h.reportToGuard(j, next.placement, result)
	h.reportCanary(j, result)
	j.avoid = append(j.avoid, next.placement.Hash)
	j.outcome = retry.CombineOutcomes(j.outcome, retry.OutcomeOf(result.step))
	j.successor.failed(next.placement.Hash, j.runs > runs)
	h.logAttempt(j, next.placement, result, retryGoesOn)
}

// resultOfNext ends a next attempt and returns its result.
func (h *Handler) resultOfNext(j *job, next *certainAttempt) result {
	sent := next.request
	if !isDone(sent.done) {
		sent.cancel()
		<-sent.done
	}
	switch {
	case sent.err != nil:
		return h.sendFailed(sent.ctx, j, next.placement, sent.began, sent.err)
	case h.canContinue(j.headSent, sent.answer, sent.err):
		sent.close()
		return h.sendFailed(sent.ctx, j, next.placement, sent.began, errPreviousGoesOn)
	case h.recordHead(j, next.placement, sent.answer).NotRun:
		return h.newRefused(sent.answer, sent.began)
	default:
		return h.newFailed(next.placement, sent.answer, sent.began)
	}
}
