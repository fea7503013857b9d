package relay

import (
	"bufio"
	"bytes"
	"io"
	"iter"
	"strings"

	"github.com/pkg/errors"

	"valescale/internal/plat/memory"
	"valescale/internal/rule/retry"
)

// Event is one server-sent event.
type Event struct {
	ID   string
	Name string
	Data string
}

// EndMark is the data of the last event of a chat completion's stream.
const EndMark = "[DONE]"

// ParseEvents yields the events of a text until its end or the first error.
func ParseEvents(r io.Reader, limit int) iter.Seq[Event] {
	return func(yield func(Event) bool) {
		scanner := newScanner(r, limit)
		for {
			e, err := readEvent(scanner)
			if err != nil || !yield(e) {
				return
			}
		}
	}
}

// Stream reads the events of an answer.
type Stream struct {
	reply   *Reply
	charged *chargedReader
	scanner *bufio.Scanner
	ended   bool
}

// Events returns the stream of an answer's events. The memory of an event beyond the usual size is charged to the
// reservation, where it stays for the next event.
func (r *Reply) Events(reserved *memory.Reservation) *Stream {
	charged := &chargedReader{body: r.body, reserved: reserved}
	return &Stream{reply: r, charged: charged, scanner: newScanner(charged, r.limits.Event)}
}

// eventCopies is how often an event is in memory while it is read and relayed: in the buffer of the reader, as its
// data, as the text for the caller, and as the text that is kept. A buffer is up to twice as large as its content.
const eventCopies = 8

// chargedReader charges the bytes of one event to a reservation.
type chargedReader struct {
	body     io.Reader
	reserved *memory.Reservation
	// unread is the number of bytes since the last event, charged the memory that is charged for an event.
	unread, charged memory.Bytes
}

// errNoMemory fails the reading of an event for which there is no memory.
var errNoMemory = errors.New("no memory for an event")

// Read reads from the body.
func (c *chargedReader) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	c.unread += memory.Bytes(n)
	if size := eventCopies * c.unread; size > eventCopies*initialScanBufferBytes && size > c.charged {
		if !c.reserved.Grow(size - c.charged) {
			return 0, errNoMemory
		}
		c.charged = size
	}
	return n, err
}

const initialScanBufferBytes = 4 << 10

func newScanner(body io.Reader, limit int) *bufio.Scanner {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, min(initialScanBufferBytes, limit)), limit)
	return s
}

var errNoEndMark = errors.New("stream ended without an end mark")

// Next returns the next event. After the end mark it returns io.EOF. A stream that ends without the
// mark is an error.
func (s *Stream) Next() (Event, error) {
	const op = "relay.Next"
	if s.ended {
		return Event{}, io.EOF
	}
	e, err := readEvent(s.scanner)
	switch {
	case err == io.EOF || errors.Is(err, errUnframed):
		return Event{}, newFailure(op, Broken, retry.Answering, errNoEndMark)
	case errors.Is(err, bufio.ErrTooLong):
		return Event{}, newFailure(op, TooLarge, retry.Answering, err)
	case errors.Is(err, errNoMemory):
		return Event{}, newFailure(op, NoMemory, retry.Answering, err)
	case err != nil:
		return Event{}, newFailure(op, Broken, retry.Answering, err)
	}
	s.charged.unread = 0
	if e.Data == EndMark {
		s.ended = true
		return Event{}, io.EOF
	}
	return e, nil
}

// Close discards the rest of the stream.
func (s *Stream) Close() { s.reply.Close() }

// readEvent reads one event according to the EventSource standard. An event that is cut off by the
// end of the data is discarded.
func readEvent(scanner *bufio.Scanner) (Event, error) {
	var e Event
	var data strings.Builder
	hasData := false
	size := 0
	for scanner.Scan() {
		line := bytes.TrimSuffix(scanner.Bytes(), []byte{'\r'})
		if len(line) == 0 {
			if !hasData {
				e = Event{}
				size = 0
				continue
			}
			e.Data = data.String()
			return e, nil
		}
		size += len(line)
		if size > maxEventBytes {
			return Event{}, bufio.ErrTooLong
		}
		name, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimPrefix(value, []byte{' '})
		switch string(name) {
		case "data":
			if hasData {
				data.WriteByte('\n')
			}
			hasData = true
			data.Write(value)
		case "id":
			e.ID = string(value)
		case "event":
			e.Name = string(value)
		}
	}
	if err := scanner.Err(); err != nil {
		return Event{}, err
	}
	return Event{}, io.EOF
}

// maxEventBytes limits the size of an event of several lines.
const maxEventBytes = 4 << 20
