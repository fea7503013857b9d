package entry

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"valescale/internal/edge/relay"
	"valescale/internal/rule/retry"
)

const (
	// eventBuffer is how much of a stream is read at once, in bytes: as much as a
	// connection's buffer holds.
	eventBuffer = 4 << 10
	// maxEvent bounds one event, in bytes, and with it what one stream keeps in memory.
	maxEvent = 1 << 20
)

// passEvents passes on the events of a stream as they come, whole ones only, so that
// the stream can go on elsewhere if this target stops in the middle of one.
func (h *Handler) passEvents(w http.ResponseWriter, j *job, answer *relay.Answer, patience *patience) result {
	if j.outbox == nil {
		j.outbox = newOutbox(w, &h.unread)
	}
	var pending []byte
	buffer := make([]byte, eventBuffer)
	for {
		n, err := answer.Read(buffer)
		pending = append(pending, buffer[:n]...)
		end := wholeEvents(pending)
		if err == io.EOF {
			end = len(pending)
		}
		if end > 0 {
			patience.heard(j.gap())
			h.Finder.Heard(j.placed.Hash)
			if reason := h.passOn(w, j, answer, pending[:end]); reason != "" {
				return result{ended: true, reason: reason, status: answer.Status}
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case err == io.EOF:
			h.begin(w, j, answer)
			return h.delivered(j, answer)
		case err != nil || len(pending) > maxEvent:
			return result{step: retry.Answering, reason: Lost, status: answer.Status, err: err}
		}
	}
}

// delivered waits until the caller has the whole stream. Its target has none of it any more, and is free for others.
func (h *Handler) delivered(j *job, answer *relay.Answer) result {
	if !j.outbox.finish() {
		return result{ended: true, reason: CallerGone, status: answer.Status}
	}
	return result{ended: true, reason: Served, status: answer.Status}
}

// passOn passes whole events on and returns why the request ends if the caller has gone or does not read. Of a stream
// that goes on at another target it leaves out what the caller has.
func (h *Handler) passOn(w http.ResponseWriter, j *job, answer *relay.Answer, events []byte) Reason {
	if j.started && j.sends > 1 {
		events = after(events, j.last)
	}
	h.begin(w, j, answer)
	if len(events) == 0 {
		return ""
	}
	if j.route.Resumable {
		if id, ok := lastID(events); ok {
			j.last = id
		}
	}
	switch there, fast := j.outbox.send(events); {
	case !there:
		return CallerGone
	case !fast:
		j.outbox.abandon()
		return Unread
	}
	return ""
}

// begin writes the head of the first target's answer, once. It names no length, since
// another target may write the rest.
func (h *Handler) begin(w http.ResponseWriter, j *job, answer *relay.Answer) {
	if j.started {
		return
	}
	j.started = true
	j.first = h.Clock().Sub(j.arrived)
	h.head(w, answer)
	w.WriteHeader(answer.Status)
}

// eventEnds are the empty lines that end an event.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// wholeEvents is the length of the whole events at the beginning of some bytes.
func wholeEvents(b []byte) int {
	end := 0
	for _, mark := range eventEnds {
		if i := bytes.LastIndex(b, mark); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}

// idOf returns the id of the event that begins some bytes.
func idOf(event []byte) (EventID, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return EventID(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) (id EventID, found bool) {
	for event := range each(events) {
		if got, ok := idOf(event); ok {
			id, found = got, true
		}
	}
	return id, found
}

// after returns the events that follow one by number; events without a number stay.
func after(events []byte, last EventID) []byte {
	had, err := strconv.ParseInt(string(last), 10, 64)
	if err != nil {
		return events
	}
	var out []byte
	for event := range each(events) {
		id, ok := idOf(event)
		number, err := strconv.ParseInt(string(id), 10, 64)
		if ok && err == nil && number <= had {
			continue
		}
		out = append(out, event...)
	}
	return out
}

// each yields events one by one, each with the empty line that ends it.
func each(events []byte) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(events) > 0 {
			end := len(events)
			for _, mark := range eventEnds {
				if i := bytes.Index(events, mark); i >= 0 {
					end = min(end, i+len(mark))
				}
			}
			if !yield(events[:end]) {
				return
			}
			events = events[end:]
		}
	}
}
