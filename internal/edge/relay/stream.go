package relay

import (
	"bufio"
	"bytes"
	"io"
	"iter"
	"strings"

	"github.com/pkg/errors"

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
	scanner *bufio.Scanner
	ended   bool
}

// Events returns the stream of an answer's events.
func (r *Reply) Events() *Stream {
	return &Stream{reply: r, scanner: newScanner(r.body, r.limits.Event)}
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
	case err != nil:
		return Event{}, newFailure(op, Broken, retry.Answering, err)
	}
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
	var data []string
	size := 0
	for scanner.Scan() {
		line := bytes.TrimSuffix(scanner.Bytes(), []byte{'\r'})
		if len(line) == 0 {
			if data == nil {
				e = Event{}
				size = 0
				continue
			}
			e.Data = strings.Join(data, "\n")
			return e, nil
		}
		size += len(line)
		if size > maxEventBytes {
			return Event{}, bufio.ErrTooLong
		}
		name, value, _ := bytes.Cut(line, []byte{':'})
		text := string(bytes.TrimPrefix(value, []byte{' '}))
		switch string(name) {
		case "data":
			data = append(data, text)
		case "id":
			e.ID = text
		case "event":
			e.Name = text
		}
	}
	if err := scanner.Err(); err != nil {
		return Event{}, err
	}
	return Event{}, io.EOF
}

// maxEventBytes limits the size of an event of several lines.
const maxEventBytes = 4 << 20
