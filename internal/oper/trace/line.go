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

// Kind classifies the errors of this package.
type Kind string

// Unreadable is the kind of errors from reading a log or drawing a plot.
const Unreadable Kind = "unreadable"

// Error is this package's error type.
type Error = fault.Error[Kind]

// RequestID is the caller's id of a request.
type RequestID string

// Line contains the fields of a log line that timelines and summaries use.
type Line struct {
	Time      time.Time `json:"ts"`
	Router    string    `json:"router"`
	Message   string    `json:"msg"`
	Request   RequestID `json:"request"`
	Route     string    `json:"route"`
	Workspace string    `json:"workspace"`
	Target    string    `json:"target"`
	Reason    string    `json:"reason"`
	// Status is the HTTP status sent to the caller, or zero if no answer was sent.
	Status int `json:"status"`
	// FoundMS is the time until a target was found, FirstMS the time until the first byte
	// of the answer, both in milliseconds from the start of the request.
	FoundMS int64 `json:"found_ms"`
	FirstMS int64 `json:"first_ms"`
	// TargetVersion is the software version of Target.
	TargetVersion string `json:"target_version"`
	// Resumes is the request with which the stream began that the caller resumes after the event LastEvent.
	Resumes   RequestID `json:"resumes"`
	LastEvent string    `json:"last_event"`
	// Origin is how the router found OriginVersion, the version at which the stream began. OriginFrom is the
	// router that had it, if that is another one. Asked routers were asked for it, and Answered responded.
	Origin        string `json:"origin"`
	OriginVersion string `json:"origin_version"`
	OriginFrom    string `json:"origin_from"`
	Asked         int    `json:"asked"`
	Answered      int    `json:"answered"`
	// Ending is how the answer ended, and Events the number of events of a stream.
	Ending string `json:"ending"`
	Events int    `json:"events"`
	// text is the JSON object as it was logged.
	text []byte
}

const (
	// requestMessage is the message of the log line that is written once per request, when
	// the request ends.
	requestMessage = "request"
	// maxLineBytes is the maximum length of a log line. Routers write lines of some hundred
	// bytes.
	maxLineBytes = 1 << 20
	// maxListedBadLines is the number of bad lines listed with their error. Further bad lines
	// are only counted.
	maxListedBadLines = 5
)

// BadLine is the position of a line that could not be parsed as a router's log line, with the
// error.
type BadLine struct {
	Source string `json:"source"`
	Line   int    `json:"line"`
	Error  string `json:"error"`
}

// BadLines counts the lines that could not be parsed and lists the first of them.
type BadLines struct {
	Count int       `json:"count"`
	First []BadLine `json:"first,omitempty"`
}

func (b *BadLines) add(source string, line int, err error) {
	b.Count++
	if len(b.First) < maxListedBadLines {
		b.First = append(b.First, BadLine{Source: source, Line: line, Error: err.Error()})
	}
}

// Source is a log of one or more routers.
type Source struct {
	Name   string
	Reader io.Reader
}

// Read calls visit for each log line of the sources and returns the lines that could not be
// parsed. Text before the first brace of a line is skipped: log collectors may prefix lines with
// a time and a host name.
func Read(sources []Source, visit func(Line)) (BadLines, error) {
	const op = "trace.Read"
	var bad BadLines
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
			line, parseErr := parse(text)
			switch {
			case parseErr != nil:
				bad.add(s.Name, number, parseErr)
			case line.Message != "":
				visit(line)
			}
		}
	}
	return bad, nil
}

// readLine returns the next line without its line ending. Input beyond maxLineBytes is
// discarded, so that a line that is too long fails to parse.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) <= maxLineBytes {
			line = append(line, part...)
		}
		if err != bufio.ErrBufferFull {
			return bytes.TrimRight(line, "\r\n"), err
		}
	}
}

// parse decodes a log line. For a blank line it returns the zero Line and no error.
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
