package cmds

import (
	"fmt"
	"time"

	"valescale/internal/oper/trace"
)

// explanation is the output of explain for one request.
type explanation struct {
	trace.Timeline
	// StreamRequests is unset if the request belongs to no stream that a caller resumed.
	StreamRequests *trace.Stream `json:"stream,omitempty"`
}

// readStream reads the logs for the requests of a stream.
func readStream(logs []logFile, began trace.RequestID) (*trace.Stream, error) {
	sources, closeAll, err := openLogs(logs)
	if err != nil {
		return nil, err
	}
	defer closeAll()
	stream, err := trace.ReadStream(sources, began)
	if err != nil {
		return nil, err
	}
	return &stream, nil
}

// printStream prints the requests of a stream, sorted by time.
func (e *explainCommand) printStream(stream *trace.Stream) {
	if stream == nil {
		return
	}
	version := stream.Version
	if version == "" {
		version = "unknown"
	}
	e.console.printLine("\nstream that began with request %s, version %s:", stream.Began, version)
	for _, r := range stream.Requests {
		if r.Request == stream.Began && r.Resumes != "" {
			e.console.printLine("request %s did not begin the stream, it resumes %s", r.Request, r.Resumes)
		}
		e.console.printLine("%s %s %s  %s; %s", r.Time.Format(time.RFC3339Nano), r.Router, r.Request, streamStart(r), streamResult(r))
	}
	if stream.Omitted > 0 {
		e.console.printLine("%d more requests", stream.Omitted)
	}
}

// streamStart describes from where a request goes on, and how the version of its stream was found.
func streamStart(r trace.StreamRequest) string {
	if r.Resumes == "" {
		return "began"
	}
	found := fmt.Sprintf("resumes %s after event %s, origin=%s", r.Resumes, r.LastEvent, r.Origin)
	if r.OriginVersion != "" {
		found += " origin_version=" + r.OriginVersion
	}
	if r.OriginFrom != "" {
		found += " origin_from=" + r.OriginFrom
	}
	return fmt.Sprintf("%s asked=%d answered=%d", found, r.Asked, r.Answered)
}

// streamResult describes where a request was sent, or why it was rejected.
func streamResult(r trace.StreamRequest) string {
	if r.Target == "" {
		return fmt.Sprintf("rejected: reason=%s status=%d", r.Reason, r.Status)
	}
	return fmt.Sprintf("target=%s target_version=%s events=%d ending=%s reason=%s status=%d",
		r.Target, r.TargetVersion, r.Events, r.Ending, r.Reason, r.Status)
}
