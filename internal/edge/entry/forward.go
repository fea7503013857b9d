package entry

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"

	"valescale/internal/edge/relay"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/memory"
	"valescale/internal/rule/retry"
)

// maxBufferedAnswer is the size in bytes up to which an answer is buffered before it is sent
// to the caller, so that the request can be retried if the answer is lost. Longer answers, and those
// for which the box has no memory, are forwarded as they arrive.
const maxBufferedAnswer = 256 << 10

// forward sends an answer to the caller. Events are sent as they arrive; other answers are sent
// once they are complete, unless they exceed maxBufferedAnswer.
func (h *Handler) forward(ctx context.Context, w http.ResponseWriter, j *job, answer receivedAnswer, idleTimeout *idleTimeout) result {
	if j.route.Stream && answer.Status < http.StatusMultipleChoices {
		return h.forwardEvents(ctx, w, j, answer, idleTimeout)
	}
	if j.headSent {
		// The caller has already received a part of a stream, which this answer cannot continue.
		return result{step: retry.Answering, reason: Lost, status: answer.Status}
	}
	answer.received = func() {
		idleTimeout.restart()
		h.Finder.ReportReceived(j.lastPlacement.Hash)
		h.watchProcess(j, answer)
	}
	body := memory.NewBuffer(h.Memory.Open(memory.Answers, j.owner()))
	defer body.Close()
	err := body.Read(answer, answer.Length, maxBufferedAnswer)
	full := fault.KindOf[memory.Kind](err) == memory.Full
	switch {
	case err != nil && !full:
		return result{step: retry.Answering, reason: Lost, status: answer.Status, err: err}
	case full || body.Len() == maxBufferedAnswer:
		// The request can't be sent again from here on, and a caller that reads slowly must not count as silence of
		// the target.
		answer.received = func() { h.watchProcess(j, answer) }
		idleTimeout.disarm()
		return h.forwardUnbuffered(ctx, w, j, answer, body)
	}
	// A caller that reads slowly must not count as silence of the target.
	idleTimeout.disarm()
	if err := h.checkEnd(ctx, j, answer); err != nil {
		return result{step: retry.Answering, reason: Lost, status: answer.Status, err: err}
	}
	return h.forwardBuffered(w, j, answer, body)
}

// forwardUnbuffered forwards an answer that is too long to be buffered.
func (h *Handler) forwardUnbuffered(ctx context.Context, w http.ResponseWriter, j *job, answer receivedAnswer, firstPart *memory.Buffer) result {
	header := h.copyHeader(w, answer)
	if answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	j.setFraming(header, answer.Framing)
	j.headSent = true
	j.first = h.Clock().Sub(j.arrived)
	w.WriteHeader(answer.Status)
	caller := &callerWriter{dst: h.newOutput(w, j)}
	_, err := io.Copy(caller, firstPart.Reader())
	firstPart.Close()
	if err == nil {
		err = h.copyAnswer(caller, j, answer)
	}
	switch {
	case caller.failed:
		return result{ended: true, reason: writeFailure(err), status: answer.Status, err: err}
	case err != nil:
		return result{ended: true, reason: CutOff, status: answer.Status, err: err}
	}
	if err := h.checkEnd(ctx, j, answer); err != nil {
		return result{ended: true, reason: CutOff, status: answer.Status, err: err}
	}
	return result{ended: true, reason: Served, status: answer.Status}
}

// forwardBufferSize is the size of the buffer through which an answer is forwarded.
const forwardBufferSize = 16 * memory.KB

// copyAnswer copies the rest of an answer to the caller.
func (h *Handler) copyAnswer(caller io.Writer, j *job, answer receivedAnswer) error {
	reserved := h.Memory.Open(memory.Answers, j.owner())
	defer reserved.Close()
	reserved.Add(forwardBufferSize)
	_, err := io.CopyBuffer(caller, answer, make([]byte, forwardBufferSize))
	return err
}

// callerWriter records write errors, which distinguishes a caller that disconnected from a target
// that closed the connection.
type callerWriter struct {
	dst    *output
	failed bool
}

// Write implements io.Writer.
func (c *callerWriter) Write(p []byte) (int, error) {
	// Each part is flushed: the target may end before it sends another one.
	for part := range slices.Chunk(p, maxWriteSize) {
		if err := c.dst.write(part); err != nil {
			c.failed = true
			return 0, err
		}
	}
	return len(p), nil
}

// copyHeader copies the answer's headers to the caller, except for Content-Length.
func (h *Handler) copyHeader(w http.ResponseWriter, answer receivedAnswer) http.Header {
	header := w.Header()
	for name, values := range relay.EndToEnd(answer.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps the HTTP server from detecting a content type.
		header["Content-Type"] = nil
	}
	return header
}
