package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/plat/fault"
	"valescale/internal/rule/retry"
	"valescale/internal/share/claim"
)

// Code is a machine-readable error code for callers.
type Code string

// Error codes in responses to callers.
const (
	CodeNone          Code = ""
	CodeUnauthorized  Code = "unauthorized"
	CodeBadRequest    Code = "bad_request"
	CodeTooLarge      Code = "too_large"
	CodeNoService     Code = "no_service"
	CodeNoTarget      Code = "no_target"
	CodeRateLimited   Code = "rate_limited"
	CodeOverloaded    Code = "overloaded"
	CodeWaitedTooLong Code = "waited_too_long"
	CodeTargetFailed  Code = "target_failed"
	CodeTargetRefused Code = "target_refused"
	CodeQuarantined   Code = "ends_targets"
	CodeKeyNeeded     Code = "idempotency_key_needed"
	CodeKeyMismatch   Code = "idempotency_key_mismatch"
	CodeAlreadySent   Code = "already_sent"
	CodeStoreDown     Code = "store_unavailable"
	CodeStreamGone    Code = "stream_gone"
	CodeBadResume     Code = "bad_resume_token"
	CodeNoMemory      Code = "out_of_memory"
	CodeCallerGone    Code = "caller_gone"
	CodeStopping      Code = "router_stopping"
)

// OutcomeHeader contains the outcome of a request: whether it ran.
const OutcomeHeader = "Valescale-Outcome"

// Problem is an error that is returned to a caller.
type Problem struct {
	Status     int
	Code       Code
	Message    string
	Outcome    retry.Outcome
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Message }

type problemBody struct {
	Error problemFields `json:"error"`
}

type problemFields struct {
	Code         Code          `json:"code"`
	Message      string        `json:"message"`
	Outcome      retry.Outcome `json:"outcome"`
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
}

func (p *Problem) body() []byte {
	data, err := json.Marshal(problemBody{problemFields{
		Code: p.Code, Message: p.Message, Outcome: p.Outcome, RetryAfterMS: p.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		// The fields are strings and a number, which can always be encoded.
		panic(err)
	}
	return data
}

// write sends the problem as the response to a caller.
func (p *Problem) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(OutcomeHeader, string(p.Outcome))
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(p.body())
}

func notRun(code Code, status int, message string) *Problem {
	return &Problem{Status: status, Code: code, Message: message, Outcome: retry.NotRun}
}

// quarantineProblem returns the problem for a quarantined request with the remaining quarantine
// time as its Retry-After delay.
func quarantineProblem(wait time.Duration) *Problem {
	return &Problem{
		Status: http.StatusServiceUnavailable, Code: CodeQuarantined, Outcome: retry.NotRun, RetryAfter: wait,
		Message: "targets have ended under this request; it is held back",
	}
}

// routeProblem converts an error of the finder to a problem.
func routeProblem(err error) *Problem {
	p := &Problem{Status: http.StatusServiceUnavailable, Outcome: retry.NotRun, Message: err.Error()}
	var delay route.RetryAfter
	if errors.As(err, &delay) {
		p.RetryAfter = delay.Wait
	}
	switch fault.KindOf[route.Kind](err) {
	case route.NoTarget:
		p.Code, p.Message = CodeNoTarget, "the service has no target that can take the request"
		p.RetryAfter = max(p.RetryAfter, time.Second)
	case route.Shed:
		p.Status, p.Code, p.Message = http.StatusTooManyRequests, CodeOverloaded, "too many requests wait already"
	case route.BackingOff:
		p.Code, p.Message = CodeOverloaded, "every target of the service wants no requests for a while"
	case route.Limited:
		p.Status, p.Code, p.Message = http.StatusTooManyRequests, CodeRateLimited, "the workspace is over its rate"
	case route.CallerGone:
		p.Status, p.Code, p.Message = statusCallerGone, CodeCallerGone, "the caller has gone"
	default:
		p.Code, p.Message = CodeWaitedTooLong, "no target became free while the request could wait"
	}
	return p
}

// statusCallerGone is the status for requests whose caller disconnected, as in nginx. It is not
// received by anyone.
const statusCallerGone = 499

// claimProblem converts an error of a claim to a problem.
func claimProblem(err error) *Problem {
	switch fault.KindOf[claim.Kind](err) {
	case claim.Restored:
		return &Problem{
			Status: http.StatusServiceUnavailable, Code: CodeStoreDown, Outcome: retry.NotRun, RetryAfter: claim.RestoreDelay,
			Message: "the store that keeps the request from running twice has been restored, and is being completed",
		}
	case claim.Running:
		return &Problem{
			Status: http.StatusConflict, Code: CodeAlreadySent, Outcome: retry.Unknown, RetryAfter: time.Second,
			Message: "a request with this key was sent before; it runs, has run, or was lost",
		}
	case claim.Mismatch:
		return notRun(CodeKeyMismatch, http.StatusUnprocessableEntity, "the key was used before with another request")
	case claim.Damaged:
		return &Problem{
			Status: http.StatusInternalServerError, Code: CodeAlreadySent, Outcome: retry.Unknown,
			Message: "the record of this key cannot be read",
		}
	default:
		return &Problem{
			Status: http.StatusServiceUnavailable, Code: CodeStoreDown, Outcome: retry.NotRun, RetryAfter: 2 * time.Second,
			Message: "the store that keeps the request from running twice does not answer",
		}
	}
}

// attemptProblem converts the error of the last attempt of a request to a problem.
func attemptProblem(err error, outcome retry.Outcome) *Problem {
	p := &Problem{Status: http.StatusBadGateway, Code: CodeTargetFailed, Outcome: outcome, Message: "the target's answer was lost"}
	switch {
	case fault.KindOf[relay.Kind](err) == relay.TooLarge:
		p.Message = "the target's answer is larger than allowed"
	case fault.KindOf[relay.Kind](err) == relay.NoMemory:
		p.Code, p.Message = CodeNoMemory, "this router has no memory for the target's answer"
	case outcome == retry.NotRun:
		p.Status, p.RetryAfter = http.StatusServiceUnavailable, time.Second
		p.Message = "no target could be reached"
	}
	return p
}
