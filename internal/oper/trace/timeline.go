package trace

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxTimelineEvents is the maximum number of events in a timeline. A request has a log line for
// its end and for each of a few attempts.
const maxTimelineEvents = 200

// promotedFields lists the fields that Event.Fields does not contain: Event and Timeline have
// them as fields of their own, except for the level, which is omitted.
var promotedFields = []string{"ts", "router", "msg", "request", "level"}

// Event is a log line of the request.
type Event struct {
	Time    time.Time `json:"ts"`
	Router  string    `json:"router"`
	Message string    `json:"msg"`
	// Fields contains the remaining fields as name=value, sorted by name.
	Fields []string `json:"fields"`
}

// Timeline contains the log lines of one request from all routers.
type Timeline struct {
	Request RequestID `json:"request"`
	Events  []Event   `json:"steps"`
	// Stream is the request that began the stream to which the request belongs, as far as a caller has
	// resumed it. It is empty for other requests.
	Stream RequestID `json:"stream_began_with,omitempty"`
	// Omitted counts the log lines beyond maxTimelineEvents.
	Omitted  int      `json:"omitted,omitempty"`
	BadLines BadLines `json:"bad_lines"`
}

// ReadTimeline reads logs and returns the events of one request, sorted by time.
func ReadTimeline(sources []Source, request RequestID) (Timeline, error) {
	timeline := Timeline{Request: request, Events: []Event{}}
	bad, err := Read(sources, func(line Line) {
		timeline.findStream(line)
		if line.Request != request {
			return
		}
		if len(timeline.Events) == maxTimelineEvents {
			timeline.Omitted++
			return
		}
		timeline.Events = append(timeline.Events, Event{Time: line.Time, Router: line.Router, Message: line.Message, Fields: fields(line)})
	})
	slices.SortStableFunc(timeline.Events, func(a, b Event) int { return a.Time.Compare(b.Time) })
	timeline.BadLines = bad
	return timeline, err
}

// findStream sets Stream if the line shows that the request resumes a stream, or that another request
// resumes the one that the request began.
func (t *Timeline) findStream(line Line) {
	switch {
	case line.Resumes == "":
	case line.Request == t.Request:
		t.Stream = line.Resumes
	case line.Resumes == t.Request && t.Stream == "":
		t.Stream = t.Request
	}
}

// fields returns the fields of a line that are not in promotedFields, as name=value and sorted by
// name.
func fields(line Line) []string {
	var values map[string]json.RawMessage
	if err := json.Unmarshal(line.text, &values); err != nil {
		// Unreachable: parse has already decoded the text as an object.
		return nil
	}
	var out []string
	for name, value := range values {
		if !slices.Contains(promotedFields, name) {
			out = append(out, fmt.Sprintf("%s=%s", name, strings.Trim(string(value), `"`)))
		}
	}
	slices.Sort(out)
	return out
}
