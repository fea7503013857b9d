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

// Reason names how a request or an attempt ended, for logs, metrics and callers' programs.
type Reason string

const (
	// NoConfig means that this router does not know a configuration yet.
	NoConfiguration Reason = "no_configuration"
	// NoRoute means that no route has the request's host and path.
	NoRoute Reason = "no_route"
	// BadKey means that no workspace has the request's API key.
	UnknownKey Reason = "unknown_key"
	// BadRequest means that the request's body could not be read.
	BadRequest Reason = "bad_request"
	// HeaderTooLarge means that the request's header exceeds the configured limit.
	HeaderTooLarge Reason = "header_too_large"
	// TooLarge means that the request's body exceeds the configured limit.
	TooLarge Reason = "too_large"
	// SlowCaller means that the request's body did not come in time.
	SlowCaller Reason = "slow_caller"
	// CallerGone means that the caller left before the end of its answer.
	CallerGone Reason = "caller_gone"
	// Unread means that the caller did not read its answer.
	Unread Reason = "unread"
	// NoTarget means that the service has no target.
	NoTarget Reason = "no_target"
	// Overloaded means that no target took the request in time.
	Overloaded Reason = "overloaded"
	// EndsTargets means that targets have ended under the request, which is held back for a while.
	Quarantined Reason = "ends_targets"
	// Refused means that a target said that it did not run the request.
	Refused Reason = "target_refused"
	// Unreachable means that no byte of the request reached a target.
	Unreachable Reason = "target_unreachable"
	// Exhausted means that this router cannot open another connection.
	Exhausted Reason = "router_exhausted"
	// Lost means that a target's answer did not come, or not whole.
	Lost Reason = "answer_lost"
	// Failed means that a target answered with a failure of its own.
	Failed Reason = "target_failed"
	// TimedOut means that the request's time was over while it may have run.
	TimedOut Reason = "timed_out"
	// CutOff means that an answer ended after a part of it had gone to the caller.
	CutOff Reason = "answer_cut_off"
	// Served means that a target's whole answer was passed on.
	Served Reason = "served"
)

// problem is a final answer of the router's own.
type problem struct {
	status int
	reason Reason
	// again is when the caller may come back; zero says nothing.
	retryAfter time.Duration
}

// problemBody is what the caller's program reads of a problem.
type problemBody struct {
	Error   Reason        `json:"error"`
	Outcome retry.Outcome `json:"outcome"`
}

// outcome is what a status promises: only a gateway's two leave open whether the request ran.
func (p *problem) outcome() retry.Outcome {
	switch p.status {
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return retry.Unknown
	default:
		return retry.NotRun
	}
}

// write sends the problem as the whole answer.
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
		// Callers come back over a new connection and would leave this one idle for seconds. At four
		// times the traffic a router ran out of descriptors so: it took no callers for four seconds,
		// and 8,700 of 70,000 tries had no answer, in place of 30.
		h.Set("Connection", "close")
	}
	w.WriteHeader(p.status)
	// A caller that has gone needs no answer.
	_ = writeAll(w, body)
}

// comeBack is when a caller may try again after a refusal that says nothing better:
// long enough for the routers to notice a lost target, a small part of any deadline.
const defaultRetryAfter = 200 * time.Millisecond

// refusal says that the request did not run and when to come back.
func rejection(reason Reason, retryAfter time.Duration) *problem {
	return &problem{status: http.StatusServiceUnavailable, reason: reason, retryAfter: max(retryAfter, defaultRetryAfter)}
}

// fromFinder turns a failure to find a target into a refusal.
func placementProblem(err error) *problem {
	var retryAfter route.RetryAfter
	// Without a time in the error, the refusal's own counts.
	_ = errors.As(err, &retryAfter)
	if fault.KindOf[route.Kind](err) == route.NoTarget {
		return rejection(NoTarget, retryAfter.Wait)
	}
	return rejection(Overloaded, retryAfter.Wait)
}

// unanswered is the end of a request whose attempts brought no answer.
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
