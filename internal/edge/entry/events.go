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
	eventReadSize = 4 << 10
	// maxEvent bounds one event, in bytes, and with it what one stream keeps in memory.
	maxEventBytes = 1 << 20
)

// passEvents passes on the events of a stream as they come, whole ones only, so that
// the stream can go on elsewhere if this target stops in the middle of one.
func (h *Handler) forwardEvents(w http.ResponseWriter, j *job, answer *relay.Answer, idleTimeout *idleTimeout) result {
	if j.streamWriter == nil {
		j.streamWriter = newStreamWriter(w, &h.unreadBytes)
	}
	var pending []byte
	buffer := make([]byte, eventReadSize)
	for {
		n, err := answer.Read(buffer)
		pending = append(pending, buffer[:n]...)
		end := completeLen(pending)
		if err == io.EOF {
			end = len(pending)
		}
		if end > 0 {
			idleTimeout.reset(j.eventTimeout())
			h.Finder.Heard(j.lastPlacement.Hash)
			if reason := h.forwardComplete(w, j, answer, pending[:end]); reason != "" {
				return result{ended: true, reason: reason, status: answer.Status}
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case err == io.EOF:
			h.writeHead(w, j, answer)
			return h.waitDelivered(j, answer)
		case err != nil || len(pending) > maxEventBytes:
			return result{step: retry.Answering, reason: Lost, status: answer.Status, err: err}
		}
	}
}

// delivered waits until the caller has the whole stream. Its target has none of it any more, and is free for others.
func (h *Handler) waitDelivered(j *job, answer *relay.Answer) result {
	if !j.streamWriter.wait() {
		return result{ended: true, reason: CallerGone, status: answer.Status}
	}
	return result{ended: true, reason: Served, status: answer.Status}
}

// passOn passes whole events on and returns why the request ends if the caller has gone or does not read. Of a stream
// that goes on at another target it leaves out what the caller has.
func (h *Handler) forwardComplete(w http.ResponseWriter, j *job, answer *relay.Answer, events []byte) Reason {
	if j.headSent && j.sends > 1 {
		events = eventsAfter(events, j.lastEvent)
	}
	h.writeHead(w, j, answer)
	if len(events) == 0 {
		return ""
	}
	if j.route.Resumable {
		if id, ok := lastEventID(events); ok {
			j.lastEvent = id
		}
	}
	switch connected, hasRoom := j.streamWriter.enqueue(events); {
	case !connected:
		return CallerGone
	case !hasRoom:
		j.streamWriter.abort()
		return Unread
	}
	return ""
}

// begin writes the head of the first target's answer, once. It names no length, since
// another target may write the rest.
func (h *Handler) writeHead(w http.ResponseWriter, j *job, answer *relay.Answer) {
	if j.headSent {
		return
	}
	j.headSent = true
	j.first = h.Clock().Sub(j.arrived)
	h.copyHeader(w, answer)
	w.WriteHeader(answer.Status)
}

// eventEnds are the empty lines that end an event.
var eventTerminators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// wholeEvents is the length of the whole events at the beginning of some bytes.
func completeLen(b []byte) int {
	end := 0
	for _, terminator := range eventTerminators {
		if i := bytes.LastIndex(b, terminator); i >= 0 {
			end = max(end, i+len(terminator))
		}
	}
	return end
}

// idOf returns the id of the event that begins some bytes.
func eventID(event []byte) (EventID, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return EventID(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// lastID returns the id of the last event that has one.
func lastEventID(events []byte) (id EventID, found bool) {
	for event := range splitEvents(events) {
		if got, ok := eventID(event); ok {
			id, found = got, true
		}
	}
	return id, found
}

// after returns the events that follow one by number; events without a number stay.
func eventsAfter(events []byte, last EventID) []byte {
	lastNumber, err := strconv.ParseInt(string(last), 10, 64)
	if err != nil {
		return events
	}
	var out []byte
	for event := range splitEvents(events) {
		id, ok := eventID(event)
		number, err := strconv.ParseInt(string(id), 10, 64)
		if ok && err == nil && number <= lastNumber {
			continue
		}
		out = append(out, event...)
	}
	return out
}

// each yields events one by one, each with the empty line that ends it.
func splitEvents(events []byte) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(events) > 0 {
			end := len(events)
			for _, terminator := range eventTerminators {
				if i := bytes.Index(events, terminator); i >= 0 {
					end = min(end, i+len(terminator))
				}
			}
			if !yield(events[:end]) {
				return
			}
			events = events[end:]
		}
	}
}
