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

// Reason names why a request got no answer of a target, for logs, metrics and callers' programs.
type Reason string

// The reasons.
const (
	NoConfig    Reason = "no_configuration"
	NoRoute     Reason = "no_route"
	BadKey      Reason = "unknown_key"
	BadRequest  Reason = "bad_request"
	TooLarge    Reason = "too_large"
	SlowCaller  Reason = "slow_caller"
	CallerGone  Reason = "caller_gone"
	NoTarget    Reason = "no_target"
	Overloaded  Reason = "overloaded"
	Refused     Reason = "target_refused"
	Unreachable Reason = "target_unreachable"
	Lost        Reason = "answer_lost"
	Failed      Reason = "target_failed"
	TimedOut    Reason = "timed_out"
	CutOff      Reason = "answer_cut_off"
	Served      Reason = "served"
)

// problem is a final answer of the router's own.
type problem struct {
	status int
	reason Reason
	// again is when the caller may come back; zero says nothing.
	again time.Duration
}

type problemBody struct {
	Error   Reason        `json:"error"`
	Outcome retry.Outcome `json:"outcome"`
}

// outcome is what a status promises.
func (p *problem) outcome() retry.Outcome {
	switch p.status {
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		return retry.Unknown
	default:
		return retry.NotRun
	}
}

func (p *problem) write(w http.ResponseWriter) {
	body, err := json.Marshal(problemBody{Error: p.reason, Outcome: p.outcome()})
	if err != nil {
		// Two strings can always be encoded.
		panic(err)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if p.again > 0 {
		h.Set("Retry-After", strconv.FormatFloat(p.again.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(p.status)
	// A caller that has gone needs no answer.
	_, _ = w.Write(body)
}

// comeBack is when a caller may try again after a refusal that says nothing better:
// long enough for the routers to notice a lost target, a small part of any deadline.
const comeBack = 200 * time.Millisecond

func refusal(reason Reason, again time.Duration) *problem {
	return &problem{status: http.StatusServiceUnavailable, reason: reason, again: max(again, comeBack)}
}

// fromFinder turns a failure to find a target into a refusal.
func fromFinder(err error) *problem {
	var later route.RetryAfter
	// Without a time in the error, the refusal's own counts.
	_ = errors.As(err, &later)
	if fault.KindOf[route.Kind](err) == route.NoTarget {
		return refusal(NoTarget, later.Wait)
	}
	return refusal(Overloaded, later.Wait)
}

// unanswered is the end of a request whose attempts brought no answer.
func unanswered(outcome retry.Outcome, reason Reason, late bool) *problem {
	switch {
	case outcome == retry.NotRun || outcome == "":
		return refusal(reason, 0)
	case late:
		return &problem{status: http.StatusGatewayTimeout, reason: TimedOut}
	default:
		return &problem{status: http.StatusBadGateway, reason: reason}
	}
}
