package entry

import (
	"net/http"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/match"
	"valescale/internal/rule/pace"
)

// RequestID is the caller's ID of a request.
type RequestID string

// EventID is the ID of an event of a stream.
type EventID string

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID string
	// Tokens is the size of the part, or zero if it is unknown.
	Tokens ident.Tokens
}

// Call contains the values of a caller's request headers.
type Call struct {
	ID RequestID
	// Wait is the time until the caller expects the end of the answer; zero means unknown.
	Wait time.Duration
	// LastEvent is the ID of the last event that the caller has of a stream which it resumes, or empty.
	LastEvent EventID
	// Resumes is the ID of the request that brought the first event of that stream, or empty.
	Resumes RequestID
	// Key is the caller's API key.
	Key string
	// Parts are the parts of the prompt in order; the last part is specific to this request.
	Parts []PromptPart
	// MaxOutput is the maximum size of the answer and ExpectedOutput the caller's estimate of it. Zero
	// means unknown.
	MaxOutput      ident.Tokens
	ExpectedOutput ident.Tokens
}

// TargetHeaders contains the values that are sent to a target in addition to the caller's request.
type TargetHeaders struct {
	// Timeout is the time the target has to process the request.
	Timeout time.Duration
	// Target identifies the target that is to run the request. Any other target at the same
	// address must reject it.
	Target    ident.Target
	Workspace ident.Workspace
	// Holder is the address of another engine that has the prompt prefix cached, or empty.
	Holder string
	// LastEvent is the ID of the last event delivered to the caller, for a stream that is resumed at
	// another target.
	LastEvent EventID
}

// Reply contains the values of the headers of a target's answer.
type Reply struct {
	// NotRun is set when the target did not run the request and will not run it.
	NotRun bool
	// AddressReassigned is set when another target now uses the address.
	AddressReassigned bool
	// Pace is how long work takes at the target at present. HasPace is set if the answer has a pace,
	// which may be out of range.
	Pace    pace.Pace
	HasPace bool
	// Brittle is set when the target falls over if it has to reject too many requests. BadBrittle is set
	// if the answer says so with a value that is not valid.
	Brittle    bool
	BadBrittle bool
	// Leaving is set when the server that answered is draining and must receive no new work.
	Leaving bool
}

// Dialect reads and writes the headers of the protocol of callers and targets.
type Dialect interface {
	// Read returns the values of a caller's headers.
	Read(h http.Header) Call
	// Write converts a copy of the caller's headers into the headers sent to a target.
	Write(h http.Header, call Call, o TargetHeaders)
	// Matches reports whether an answer with these headers is to the call.
	Matches(h http.Header, call Call) bool
	// Reply returns the values of a target's status and headers.
	Reply(status int, h http.Header) Reply
}

// Rules provides the configuration in force.
type Rules interface {
	// Table returns the configuration, or nil if none is loaded yet.
	Table() *match.Table
	// Fresh reports whether the configuration was confirmed recently, so that names missing from
	// it can be treated as nonexistent.
	Fresh() bool
	// ConfirmedVersion returns the version of a target, and whether it is known to be current.
	ConfirmedVersion(target ident.Target) (ident.Version, bool)
	// IdleConns returns the maximum number of idle connections that this router may keep to a
	// target of a service; zero means no limit.
	IdleConns(service ident.Service) int
	// ReportBrittle records that a target of a service reported that it is brittle.
	ReportBrittle(service ident.Service)
}
