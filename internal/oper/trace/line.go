package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"valescale/internal/plat/fault"
)

// Kind tells this package's errors apart.
type Kind string

// Unreadable means that a log could not be read to its end, or a figure not be drawn.
const Unreadable Kind = "unreadable"

// Error is this package's error type.
type Error = fault.Error[Kind]

// RequestID is a caller's id of one request.
type RequestID string

// Line is what a log line says, as far as stories and summaries use it.
type Line struct {
	Time      time.Time `json:"ts"`
	Router    string    `json:"router"`
	Message   string    `json:"msg"`
	Request   RequestID `json:"request"`
	Route     string    `json:"route"`
	Workspace string    `json:"workspace"`
	Target    string    `json:"target"`
	Reason    string    `json:"reason"`
	// Status is what the caller got, zero without an answer.
	Status int `json:"status"`
	// FoundMS and FirstMS are the milliseconds until a target was found and until the
	// answer's first byte.
	FoundMS int64 `json:"found_ms"`
	FirstMS int64 `json:"first_ms"`
	// text is the line as it was logged.
	text []byte
}

const (
	// requestEnded is the message of the one line that each request gets at its end.
	requestEnded = "request"
	// maxLine bounds one line, in bytes; routers write some hundred.
	maxLine = 1 << 20
	// badKept is how many bad lines are named; the others are counted.
	badKept = 5
)

// BadLine names a line that is no log line of a router.
type BadLine struct {
	Source string `json:"source"`
	Line   int    `json:"line"`
	Error  string `json:"error"`
}

// Bad are the lines that could not be read.
type Bad struct {
	Count int       `json:"count"`
	First []BadLine `json:"first,omitempty"`
}

func (b *Bad) add(source string, line int, err error) {
	b.Count++
	if len(b.First) < badKept {
		b.First = append(b.First, BadLine{Source: source, Line: line, Error: err.Error()})
	}
}

// Source is one log, of one router or of several.
type Source struct {
	Name   string
	Reader io.Reader
}

// Read passes the lines of logs on, and counts those that are no log lines. What stands
// before a line's first brace, such as a collector's time and host, is skipped.
func Read(sources []Source, take func(Line)) (Bad, error) {
	const op = "trace.Read"
	var bad Bad
	for _, s := range sources {
		reader := bufio.NewReader(s.Reader)
		for number := 1; ; number++ {
			text, err := readLine(reader)
			if err == io.EOF && len(text) == 0 {
				break
			}
			if err != nil && err != io.EOF {
				return bad, fault.New(op, Unreadable, fmt.Errorf("%s: %w", s.Name, err))
			}
			line, problem := parse(text)
			switch {
			case problem != nil:
				bad.add(s.Name, number, problem)
			case line.Message != "":
				take(line)
			}
		}
	}
	return bad, nil
}

// readLine returns the next line without its end. Of a line that is too long the rest is
// skipped, so that it cannot be parsed.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) <= maxLine {
			line = append(line, part...)
		}
		if err != bufio.ErrBufferFull {
			return bytes.TrimRight(line, "\r\n"), err
		}
	}
}

// parse reads one line. An empty one is neither a line nor a mistake.
func parse(text []byte) (Line, error) {
	var line Line
	if len(bytes.TrimSpace(text)) == 0 {
		return line, nil
	}
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line, fmt.Errorf("no JSON object")
	}
	line.text = bytes.Clone(text[start:])
	if err := json.Unmarshal(line.text, &line); err != nil {
		return Line{}, err
	}
	if line.Message == "" {
		return Line{}, fmt.Errorf("no msg")
	}
	return line, nil
}
