package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"valescale/internal/plat/memory"
	"valescale/internal/rule/retry"
)

const (
	// eventReadSize is the size in bytes of one read from a stream, which matches a connection's
	// read buffer.
	eventReadSize = 4 << 10
	// uncountedEventSize is the size of an incomplete event that is not charged to the memory of the box, since
	// it fits into the buffers of a connection.
	uncountedEventSize = 2 * eventReadSize
	// maxEventBytes is the maximum size of one event and the comments before it, and thus limits the memory of one
	// stream.
	maxEventBytes = 1 << 20
)

// forwardEvents forwards the events of a stream as they arrive. Only complete events are
// forwarded, so that the stream can be resumed at another target if this one stops in the middle
// of an event. Comments and blank lines are forwarded as well, but bring the stream no further.
func (h *Handler) forwardEvents(ctx context.Context, w http.ResponseWriter, j *job, answer receivedAnswer, idleTimeout *idleTimeout) result {
	if j.streamWriter == nil {
		j.streamWriter = newStreamWriter(h.newOutput(w, j), h.Memory.Open(memory.Streams, j.owner()))
	}
	reserved := h.Memory.Open(memory.Answers, j.owner())
	defer reserved.Close()
	answer.hasEvents = true
	var received eventBuffer
	buffer := make([]byte, eventReadSize)
	// sinceEvent is the number of bytes received since the last event.
	sinceEvent := 0
	for {
		n, err := answer.Read(buffer)
		sinceEvent += n
		if !reserved.GrowTo(memory.Bytes(len(received.rest())+n) - uncountedEventSize) {
			return result{step: retry.Answering, reason: NoMemory, status: answer.Status}
		}
		if events := received.add(buffer[:n]); len(events) > 0 {
			if insideEvent(events) {
				sinceEvent = len(received.rest())
				j.progress.add(h.Clock(), events)
				j.eventMissing = false
				answer.watched.events.Add(1)
				idleTimeout.reset(j.eventTimeout())
				h.Finder.ReportReceived(j.lastPlacement.Hash)
			}
			h.watchProcess(j, answer)
			if reason := h.forwardComplete(w, j, answer, events); reason != "" {
				return result{ended: true, reason: reason, status: answer.Status}
			}
		}
		switch {
		case err == io.EOF:
			// The target has sent everything: what the caller has not read yet is no silence.
			idleTimeout.disarm()
			return h.endStream(ctx, w, j, answer, received.rest())
		case err != nil || sinceEvent > maxEventBytes:
			j.progress.ending = EndBroken
			j.eventMissing = j.eventMissing || insideEvent(received.rest())
			return result{step: retry.Answering, reason: Lost, status: answer.Status, err: err}
		}
	}
}

// endStream ends a stream of which everything was received. The rest is what follows its last complete
// event.
func (h *Handler) endStream(ctx context.Context, w http.ResponseWriter, j *job, answer receivedAnswer, rest []byte) result {
	if err := h.checkStreamEnd(ctx, j, answer, rest); err != nil {
		j.eventMissing = j.eventMissing || insideEvent(rest)
		return result{step: retry.Answering, reason: Lost, status: answer.Status, err: err}
	}
	if reason := h.forwardComplete(w, j, answer, rest); reason != "" {
		return result{ended: true, reason: reason, status: answer.Status}
	}
	return h.waitDelivered(j, answer)
}

// waitDelivered waits until the caller has received the whole stream. The target holds none of it
// at this point and can serve other requests.
func (h *Handler) waitDelivered(j *job, answer receivedAnswer) result {
	if !j.streamWriter.wait() {
		return result{ended: true, reason: CallerGone, status: answer.Status}
	}
	if j.marksEnd && !answer.Framing.Marked() {
		// The stream began at another target, with a marked end that this one does not confirm.
		return result{ended: true, reason: CutOff, status: answer.Status, unconfirmed: true}
	}
	return result{ended: true, reason: Served, status: answer.Status}
}

// forwardComplete forwards complete events. It returns the reason for which the request ends if it does, as
// streamWriter.enqueue. Of a stream that is
// resumed at another target, it skips events that the caller already has.
func (h *Handler) forwardComplete(w http.ResponseWriter, j *job, answer receivedAnswer, events []byte) Reason {
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
	if !j.streamWriter.hasRoom(len(events)) {
		// A target that waits for the caller is not silent.
		answer.idleTimeout.pause()
		defer answer.idleTimeout.restart()
	}
	reason := j.streamWriter.enqueue(events)
	if reason == Unread || reason == NoMemory {
		j.streamWriter.abort()
	}
	return reason
}

// writeHead writes the head of the first answer once. It sets no Content-Length, since another
// target may send the rest.
func (h *Handler) writeHead(w http.ResponseWriter, j *job, answer receivedAnswer) {
	if j.headSent {
		return
	}
	j.headSent = true
	j.first = h.Clock().Sub(j.arrived)
	h.beginStream(j)
	j.setFraming(h.copyHeader(w, answer), answer.Framing)
	w.WriteHeader(answer.Status)
}

// eventTerminators are the blank lines that end an event, with the end of the line before.
var eventTerminators = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// maxTerminatorLen is the length of the longest of the eventTerminators.
const maxTerminatorLen = 3

// eventBuffer keeps what was received of a stream after its last complete event. It looks at each byte once, however
// long an event is.
type eventBuffer struct {
	data []byte
	// complete is the length of the complete events at the start of the data, which add drops.
	complete int
}

// add appends bytes and returns the events that they complete, which are valid until the next call.
func (b *eventBuffer) add(received []byte) []byte {
	if b.complete > 0 {
		b.data = append(b.data[:0], b.data[b.complete:]...)
	}
	// A terminator may begin in the bytes before.
	from := max(len(b.data)-(maxTerminatorLen-1), 0)
	b.data = append(b.data, received...)
	b.complete = 0
	if end := completeLen(b.data[from:]); end > 0 {
		b.complete = from + end
	}
	return b.data[:b.complete]
}

// rest returns what follows the last complete event.
func (b *eventBuffer) rest() []byte { return b.data[b.complete:] }

// completeLen returns the length of the complete events at the start of b.
func completeLen(b []byte) int {
	end := 0
	for _, terminator := range eventTerminators {
		if i := bytes.LastIndex(b, terminator); i >= 0 {
			end = max(end, i+len(terminator))
		}
	}
	return end
}

// firstEventLen returns the length of the first event of b, which is all of it if the event is not complete.
func firstEventLen(b []byte) int {
	for i := 0; i < len(b); i++ {
		lineEnd := bytes.IndexAny(b[i:], "\r\n")
		if lineEnd < 0 {
			break
		}
		i += lineEnd
		for _, terminator := range eventTerminators {
			if bytes.HasPrefix(b[i:], terminator) {
				return i + len(terminator)
			}
		}
	}
	return len(b)
}

// eventID returns the ID of the first event in the buffer.
func eventID(event []byte) (EventID, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return EventID(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) (id EventID, found bool) {
	for event := range splitEvents(events) {
		if got, ok := eventID(event); ok {
			id, found = got, true
		}
	}
	return id, found
}

// eventsAfter returns the events with a number above the last one. Events without a number are
// kept.
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

// splitEvents iterates over the events, each with its terminating blank line.
func splitEvents(events []byte) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(events) > 0 {
			end := firstEventLen(events)
			if !yield(events[:end]) {
				return
			}
			events = events[end:]
		}
	}
}
