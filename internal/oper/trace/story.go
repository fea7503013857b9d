package trace

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxStory bounds the lines of one request's story: a request has an end and a few attempts.
const maxStory = 200

// shown are the fields of a line that stand elsewhere in its place in a story.
var shown = []string{"ts", "router", "msg", "request", "level"}

// Step is one line of a request's story.
type Step struct {
	Time    time.Time `json:"ts"`
	Router  string    `json:"router"`
	Message string    `json:"msg"`
	// Fields are the line's other fields in order of name, as name=value.
	Fields []string `json:"fields"`
}

// Story is all that routers logged of one request.
type Story struct {
	Request RequestID `json:"request"`
	Steps   []Step    `json:"steps"`
	// Omitted counts the lines beyond the most that are kept.
	Omitted int `json:"omitted,omitempty"`
	Bad     Bad `json:"bad_lines"`
}

// Tell reads logs and returns one request's story, in order of time.
func Tell(sources []Source, request RequestID) (Story, error) {
	story := Story{Request: request, Steps: []Step{}}
	bad, err := Read(sources, func(line Line) {
		if line.Request != request {
			return
		}
		if len(story.Steps) == maxStory {
			story.Omitted++
			return
		}
		story.Steps = append(story.Steps, Step{Time: line.Time, Router: line.Router, Message: line.Message, Fields: fields(line)})
	})
	slices.SortStableFunc(story.Steps, func(a, b Step) int { return a.Time.Compare(b.Time) })
	story.Bad = bad
	return story, err
}

// fields lists a line's fields that are not shown elsewhere.
func fields(line Line) []string {
	var values map[string]json.RawMessage
	if err := json.Unmarshal(line.text, &values); err != nil {
		// The line has been read as an object before.
		return nil
	}
	var out []string
	for name, value := range values {
		if !slices.Contains(shown, name) {
			out = append(out, fmt.Sprintf("%s=%s", name, strings.Trim(string(value), `"`)))
		}
	}
	slices.Sort(out)
	return out
}
