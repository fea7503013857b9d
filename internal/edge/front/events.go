package front

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"valescale/internal/edge/relay"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/memory"
	"valescale/internal/rule/retry"
	"valescale/internal/share/claim"
)

const (
	eventStream   = "text/event-stream"
	resumeTimeout = 10 * time.Minute
)

// eventWriter writes a stream to a caller. It keeps the text for a continuation, and a recording of
// the stream as the stored answer of a claim; each is limited to maxBytes.
type eventWriter struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	keys      relay.Keys
	workspace ident.Workspace
	started   bool
	// callerGone is set once a write to the caller has failed.
	callerGone bool
	maxBytes   int
	// writeTime is the timeout of each write.
	writeTime time.Duration
	// reserved is the memory of the text and the recording.
	reserved           *memory.Reservation
	text               strings.Builder
	textTruncated      bool
	recording          bytes.Buffer
	recordingTruncated bool
}

// newEventWriter returns a writer that charges what it keeps to the reservation.
func (f *Front) newEventWriter(w http.ResponseWriter, reserved *memory.Reservation, workspace ident.Workspace) *eventWriter {
	return &eventWriter{
		w: w, control: http.NewResponseController(w), reserved: reserved, keys: f.Keys, workspace: workspace,
		maxBytes: f.limits.MaxPartialBytes, writeTime: f.limits.WriteTime,
	}
}

// keep appends a text to what is kept of the stream, and reports whether all of it still is: it does not exceed
// maxBytes, and there is memory for it.
func (e *eventWriter) keep(kept interface{ Len() int }, write func(string) (int, error), text string) bool {
	if kept.Len()+len(text) > e.maxBytes || !e.reserved.Grow(memory.Bytes(len(text))) {
		return false
	}
	// Writes to memory do not fail.
	_, _ = write(text)
	return true
}

func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	h := e.w.Header()
	h.Set("Content-Type", eventStream)
	h.Set("Cache-Control", "no-store")
	h.Set("Trailer", OutcomeHeader)
	e.w.WriteHeader(http.StatusOK)
}

// event writes an event with an id by which the caller can resume the stream.
func (e *eventWriter) event(token relay.Token, event relay.Event) error {
	e.start()
	if !e.textTruncated {
		e.textTruncated = !e.keep(&e.text, e.text.WriteString, deltaText(event.Data))
	}
	var out strings.Builder
	if token.Stream != "" {
		out.WriteString("id: " + e.keys.Seal(e.workspace, token) + "\n")
	}
	if event.Name != "" {
		out.WriteString("event: " + event.Name + "\n")
	}
	for line := range strings.SplitSeq(event.Data, "\n") {
		out.WriteString("data: " + line + "\n")
	}
	out.WriteString("\n")
	return e.write(out.String())
}

func (e *eventWriter) write(text string) error {
	if !e.recordingTruncated {
		e.recordingTruncated = !e.keep(&e.recording, e.recording.WriteString, text)
	}
	_ = e.control.SetWriteDeadline(time.Now().Add(e.writeTime))
	if _, err := e.w.Write([]byte(text)); err != nil {
		e.callerGone = true
		return err
	}
	if err := e.control.Flush(); err != nil {
		e.callerGone = true
		return err
	}
	// On HTTP/2 a deadline that passes between two writes ends the stream as well.
	_ = e.control.SetWriteDeadline(time.Time{})
	return nil
}

// end completes the stream with the end marker.
func (e *eventWriter) end() {
	e.start()
	_ = e.write("data: " + relay.EndMark + "\n\n")
	e.w.Header().Set(OutcomeHeader, string(retry.Done))
}

// writeProblem ends an incomplete stream with an error event. Before the first event it sends an
// ordinary error response instead.
func (e *eventWriter) writeProblem(p *Problem) {
	if !e.started {
		p.write(e.w)
		return
	}
	_ = e.write("event: error\ndata: " + string(p.body()) + "\n\n")
}

// abort closes the caller's connection without the end of the answer, if a part of a stream was sent. It does
// not return then. The error event contains the outcome that the trailer of a complete stream has.
func (e *eventWriter) abort() {
	if e.started {
		panic(http.ErrAbortHandler)
	}
}

// recordingComplete reports whether the recording contains the complete stream.
func (e *eventWriter) recordingComplete() bool { return !e.recordingTruncated }

// recordedAnswer returns the recorded stream as the answer that is stored for the claim.
func (e *eventWriter) recordedAnswer() claim.Answer {
	return claim.Answer{
		Status: http.StatusOK, Header: http.Header{"Content-Type": {eventStream}}, Body: e.recording.Bytes(),
	}
}
