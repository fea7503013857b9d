package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/edge/route"
	"valescale/internal/plat/fault"
	"valescale/internal/rule/retry"
)

// Reason describes how a request or an attempt ended, for logs, metrics and caller programs.
type Reason string

const (
	// NoConfiguration means that this router has no configuration yet.
	NoConfiguration Reason = "no_configuration"
	// NoRoute means that no route matches the request's host and path.
	NoRoute Reason = "no_route"
	// UnknownKey means that no workspace has the request's API key.
	UnknownKey Reason = "unknown_key"
	// BadRequest means that the request's body could not be read.
	BadRequest Reason = "bad_request"
	// HeaderTooLarge means that the request's header exceeds the configured limit.
	HeaderTooLarge Reason = "header_too_large"
	// TooLarge means that the request's body exceeds the configured limit.
	TooLarge Reason = "too_large"
	// SlowCaller means that the request's body was not received before the deadline.
	SlowCaller Reason = "slow_caller"
	// CallerGone means that the caller disconnected before the end of its answer.
	CallerGone Reason = "caller_gone"
	// Unread means that the caller did not read its answer.
	Unread Reason = "unread"
	// NoTarget means that the service has no target.
	NoTarget Reason = "no_target"
	// UnknownOrigin means that the caller resumes a stream, and that no router knows at which of several
	// versions it began.
	UnknownOrigin Reason = "unknown_origin"
	// Overloaded means that no target accepted the request in time.
	Overloaded Reason = "overloaded"
	// Quarantined means that targets crashed under the request, which is quarantined for some
	// time.
	Quarantined Reason = "ends_targets"
	// Refused means that a target reported that it did not run the request.
	Refused Reason = "target_refused"
	// Unreachable means that no byte of the request reached a target.
	Unreachable Reason = "target_unreachable"
	// NoMemory means that this box has no memory for the request's body, or for its answer.
	NoMemory Reason = "out_of_memory"
	// Exhausted means that this router cannot open another connection.
	Exhausted Reason = "router_exhausted"
	// Stopping means that this router may end before the answer does.
	Stopping Reason = "router_stopping"
	// Lost means that a target's answer was not received, or not completely.
	Lost Reason = "answer_lost"
	// Failed means that a target answered with a server error.
	Failed Reason = "target_failed"
	// TimedOut means that the request's deadline expired while it may have run.
	TimedOut Reason = "timed_out"
	// CutOff means that an answer ended after a part of it was sent to the caller.
	CutOff Reason = "answer_cut_off"
	// Served means that a target's complete answer was forwarded.
	Served Reason = "served"
)

// problem is a final answer of the router itself.
type problem struct {
	status int
	reason Reason
	// retryAfter is the Retry-After delay; zero omits the header.
	retryAfter time.Duration
}

// problemBody is the JSON body of a problem.
type problemBody struct {
	Error   Reason        `json:"error"`
	Outcome retry.Outcome `json:"outcome"`
}

// outcome returns the outcome implied by the status: only 502 and 504 leave open whether the
// request ran.
func (p *problem) outcome() retry.Outcome {
	switch p.status {
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return retry.Unknown
	default:
		return retry.NotRun
	}
}

// write sends the problem as the complete answer.
func (p *problem) write(w http.ResponseWriter) {
	body, err := json.Marshal(problemBody{Error: p.reason, Outcome: p.outcome()})
	if err != nil {
		// Two strings can always be encoded.
		panic(err)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(p.retryAfter.Seconds(), 'f', 3, 64))
	}
	if p.status == http.StatusServiceUnavailable {
		// Callers retry over a new connection and would leave this one idle for seconds. At four
		// times the traffic this exhausts the router's descriptors: it accepts no callers for four
		// seconds, and 8,700 instead of 30 of 70,000 requests get no answer.
		h.Set("Connection", "close")
	}
	w.WriteHeader(p.status)
	// A caller that has disconnected needs no answer.
	_, _ = w.Write(body)
}

// defaultRetryAfter is the Retry-After delay if no better estimate exists. It is long enough for
// the routers to detect a lost target, and a small part of any deadline.
const defaultRetryAfter = 200 * time.Millisecond

// rejection returns a problem for a request that did not run, with a Retry-After delay.
func rejection(reason Reason, retryAfter time.Duration) *problem {
	return &problem{status: http.StatusServiceUnavailable, reason: reason, retryAfter: max(retryAfter, defaultRetryAfter)}
}

// placementProblem converts a placement error into a rejection.
func placementProblem(err error) *problem {
	var retryAfter route.RetryAfter
	// Without a delay in the error, the default of the rejection applies.
	_ = errors.As(err, &retryAfter)
	if fault.KindOf[route.Kind](err) == route.NoTarget {
		return rejection(NoTarget, retryAfter.Wait)
	}
	return rejection(Overloaded, retryAfter.Wait)
}

// noAnswer returns the problem for a request whose attempts brought no answer.
func noAnswer(outcome retry.Outcome, reason Reason, deadlineExceeded bool) *problem {
	switch {
	case outcome == retry.NotRun || outcome == "":
		return rejection(reason, 0)
	case deadlineExceeded:
		return &problem{status: http.StatusGatewayTimeout, reason: TimedOut}
	default:
		return &problem{status: http.StatusBadGateway, reason: reason}
	}
}
