package trace

import (
	"slices"
	"time"
)

// maxStreamRequests is the maximum number of requests listed for a stream. A caller resumes a stream a few
// times.
const maxStreamRequests = 200

// StreamRequest is a request that began a stream or resumed it.
type StreamRequest struct {
	Time    time.Time `json:"ts"`
	Router  string    `json:"router"`
	Request RequestID `json:"request"`
	// Resumes is the request that the caller names as the one that began the stream. It is empty if this is
	// the one.
	Resumes RequestID `json:"resumes,omitempty"`
	// LastEvent is the last event that the caller had.
	LastEvent string `json:"last_event,omitempty"`
	// Origin is how the router found OriginVersion, OriginFrom the router that had it.
	Origin        string `json:"origin,omitempty"`
	OriginVersion string `json:"origin_version,omitempty"`
	OriginFrom    string `json:"origin_from,omitempty"`
	Asked         int    `json:"asked"`
	Answered      int    `json:"answered"`
	// Target sent the latest part of the answer. It is empty if the request was rejected, with Reason and
	// Status.
	Target        string `json:"target,omitempty"`
	TargetVersion string `json:"target_version,omitempty"`
	Reason        string `json:"reason"`
	Status        int    `json:"status"`
	Ending        string `json:"ending,omitempty"`
	Events        int    `json:"events"`
}

// Stream contains the requests of one stream from all routers.
type Stream struct {
	// Began is the request that began the stream.
	Began RequestID `json:"began_with"`
	// Version is the version of the target that began the stream. It is empty if no log line shows it.
	Version string `json:"began_at_version"`
	// Requests are sorted by time of their end. Requests that have not ended are not contained.
	Requests []StreamRequest `json:"requests"`
	// Omitted counts the requests beyond maxStreamRequests.
	Omitted int `json:"omitted,omitempty"`
}

// ReadStream reads logs and returns the requests of the stream that began with a request.
func ReadStream(sources []Source, began RequestID) (Stream, error) {
	stream := Stream{Began: began, Requests: []StreamRequest{}}
	_, err := Read(sources, func(line Line) {
		if line.Message == requestMessage && (line.Request == began || line.Resumes == began) {
			stream.add(line)
		}
	})
	slices.SortStableFunc(stream.Requests, func(a, b StreamRequest) int { return a.Time.Compare(b.Time) })
	stream.Version = stream.versionAtStart()
	return stream, err
}

// add adds a request.
func (s *Stream) add(line Line) {
	if len(s.Requests) == maxStreamRequests {
		s.Omitted++
		return
	}
	s.Requests = append(s.Requests, StreamRequest{
		Time: line.Time, Router: line.Router, Request: line.Request, Resumes: line.Resumes, LastEvent: line.LastEvent,
		Origin: line.Origin, OriginVersion: line.OriginVersion, OriginFrom: line.OriginFrom, Asked: line.Asked, Answered: line.Answered,
		Target: line.Target, TargetVersion: line.TargetVersion, Reason: line.Reason, Status: line.Status, Ending: line.Ending, Events: line.Events,
	})
}

// versionAtStart returns the version that sent the first events. If the request that began the stream has
// no log line, because its router ended before it, this is the version that another router found.
func (s *Stream) versionAtStart() string {
	for _, r := range s.Requests {
		if r.Request == s.Began && r.Resumes == "" && r.Events > 0 {
			return r.TargetVersion
		}
	}
	for _, r := range s.Requests {
		if r.Resumes == s.Began && r.OriginVersion != "" {
			return r.OriginVersion
		}
	}
	return ""
}
