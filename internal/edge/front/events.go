package front

import (
	"bytes"
	"net/http"
	"strings"
	"time"

	"valescale/internal/edge/relay"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/retry"
	"valescale/internal/share/claim"
)

const (
	eventStream   = "text/event-stream"
	resumeTimeout = 10 * time.Minute
	// writeTime bounds each write to a caller that does not read.
	writeTime = 30 * time.Second
)

// eventWriter writes a stream to a caller and keeps its text for a continuation.
type eventWriter struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	keys      relay.Keys
	workspace ident.Workspace
	started   bool
	// broken is set once the caller cannot be written to.
	broken   bool
	limit    int
	text     strings.Builder
	overflow bool
	record   bytes.Buffer
	lost     bool
}

func newEventWriter(w http.ResponseWriter, keys relay.Keys, workspace ident.Workspace, limit int) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w), keys: keys, workspace: workspace, limit: limit}
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

// event passes one event on under an id with which the caller can resume.
func (e *eventWriter) event(token relay.Token, event relay.Event) error {
	e.start()
	if text := deltaText(event.Data); !e.overflow {
		e.text.WriteString(text)
		e.overflow = e.text.Len() > e.limit
	}
	var out strings.Builder
	if token.Stream != "" {
		out.WriteString("id: " + e.keys.Seal(e.workspace, token) + "\n")
	}
	if event.Name != "" {
		out.WriteString("event: " + event.Name + "\n")
	}
	for _, line := range strings.Split(event.Data, "\n") {
		out.WriteString("data: " + line + "\n")
	}
	out.WriteString("\n")
	return e.write(out.String())
}

func (e *eventWriter) write(text string) error {
	if e.record.Len() <= e.limit {
		e.record.WriteString(text)
	} else {
		e.lost = true
	}
	_ = e.control.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := e.w.Write([]byte(text)); err != nil {
		e.broken = true
		return err
	}
	if err := e.control.Flush(); err != nil {
		e.broken = true
		return err
	}
	return nil
}

// end closes a stream that is whole.
func (e *eventWriter) end() {
	e.start()
	_ = e.write("data: " + relay.EndMark + "\n\n")
	e.w.Header().Set(OutcomeHeader, string(retry.Done))
	_ = e.control.SetWriteDeadline(time.Time{})
}

// fail ends a stream that is not whole, in words; before the first event it is an
// ordinary error.
func (e *eventWriter) fail(p *Problem) {
	if !e.started {
		p.write(e.w)
		return
	}
	_ = e.write("event: error\ndata: " + string(p.body()) + "\n\n")
	e.w.Header().Set(OutcomeHeader, string(p.Outcome))
	_ = e.control.SetWriteDeadline(time.Time{})
}

// whole reports whether all that was written is still there to be stored.
func (e *eventWriter) whole() bool { return !e.lost }

// answer is the stream as it is replayed.
func (e *eventWriter) answer() claim.Answer {
	return claim.Answer{
		Status: http.StatusOK, Header: http.Header{"Content-Type": {eventStream}}, Body: e.record.Bytes(),
	}
}
