package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/edge/relay"
	"valescale/internal/plat/memory"
)

// failureBodyTime is how long another attempt waits for the body of a failure that may be kept. It usually comes with
// its head.
const failureBodyTime = 100 * time.Millisecond

// errFailureLate ends a failure whose body takes too long to be kept.
var errFailureLate = errors.New("body of a failure takes too long to be kept")

// keptFailure is a target's own failure, of which the caller gets nothing unless all further attempts stay without an
// answer.
type keptFailure struct {
	answer receivedAnswer
	body   *memory.Buffer
}

// close returns the memory. It may be called without a failure.
func (k *keptFailure) close() {
	if k != nil {
		k.body.Close()
	}
}

// keepFailure reads a failure that makes way for another attempt, and keeps it in place of an earlier one. It is not kept
// if it is long or late, or if nothing marks its end: then it can't be told from one that breaks off.
func (h *Handler) keepFailure(j *job, answer *relay.Answer, idleTimeout *idleTimeout) {
	if j.headSent || !answer.Framing.Marked() {
		return
	}
	idleTimeout.disarm()
	late := time.AfterFunc(failureBodyTime, func() { idleTimeout.cancel(errFailureLate) })
	defer late.Stop()
	kept := &keptFailure{receivedAnswer{Answer: answer, progress: &progress{}}, memory.NewBuffer(h.Memory.Open(memory.Answers, j.owner()))}
	if err := kept.body.Read(kept.answer, answer.Length, maxBufferedAnswer); err != nil || kept.body.Len() == maxBufferedAnswer {
		kept.close()
		return
	}
	j.kept.close()
	j.kept = kept
}

// sendKept ends a request with the failure that was kept.
func (h *Handler) sendKept(w http.ResponseWriter, j *job) {
	result := h.forwardBuffered(w, j, j.kept.answer, j.kept.body)
	h.ended(j, result.reason, result.status)
	abortConnection(j, result.reason)
	j.caller.setResetOnClose(false)
}

// forwardBuffered sends an answer to the caller that was read completely.
func (h *Handler) forwardBuffered(w http.ResponseWriter, j *job, answer receivedAnswer, body *memory.Buffer) result {
	j.first = h.Clock().Sub(j.arrived)
	header := h.copyHeader(w, answer)
	switch {
	case answer.Framing == relay.NoBody && answer.Length >= 0:
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	case answer.Framing == relay.Length || answer.Framing == relay.Chunks:
		header.Set("Content-Length", strconv.FormatInt(body.Len(), 10))
	}
	j.setFraming(header, answer.Framing)
	w.WriteHeader(answer.Status)
	if err := h.newOutput(w, j).writeAll(body.Segments()...); err != nil {
		return result{ended: true, reason: writeFailure(err), status: answer.Status, err: err}
	}
	return result{ended: true, reason: Served, status: answer.Status}
}
