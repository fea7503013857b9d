package entry

import (
	"context"

	"valescale/internal/edge/route"
	"valescale/internal/rule/retry"
)

// again decides whether another attempt follows one that brought no answer.
func (h *Handler) shouldRetry(ctx context.Context, j *job, placement *route.Placement, attempt result) bool {
	j.avoid = append(j.avoid, placement.Hash)
	j.outcome = retry.Worse(j.outcome, retry.OutcomeOf(attempt.step))
	reason := h.decideRetry(ctx, j, attempt)
	h.logAttempt(j, placement, attempt, reason)
	return reason == retryAllowed
}

// follow says why another attempt follows or not.
type retryDecision string

const (
	// followed means that another attempt follows.
	retryAllowed retryDecision = "again"
	// noTime means that the request's time is over, or its caller gone.
	retryNoTime retryDecision = "no_time"
	// mayHaveRun means that the request may have run and must not run twice.
	retryMayHaveRun retryDecision = "may_have_run"
	// noAttempts means that the request has had as many attempts as it may.
	retryNoAttempts retryDecision = "no_attempts"
	// noRoom means that this router cannot open another connection.
	retryNoConnection retryDecision = "no_room"
	// endsTargets means that targets end under the request.
	retryQuarantined retryDecision = "ends_targets"
	// noBudget means that the fleet's retries are used up.
	retryNoBudget retryDecision = "no_budget"
)

const (
	// maxRefused is how many targets may refuse one request: after a crash of many, their
	// addresses can belong to others before the store's rows say so.
	maxRejections = 3
	// maxFree is how many attempts that reached no target one request may make: with that
	// many targets unreachable the fault is more likely the router's own link.
	maxUnreachable = 4
)

// mayFollow checks an attempt's end against the route's terms and the retry budget, of
// which it uses one unless the attempt has paid.
func (h *Handler) decideRetry(ctx context.Context, j *job, attempt result) retryDecision {
	if ctx.Err() != nil {
		return retryNoTime
	}
	if attempt.reason == Exhausted {
		// Other targets would fare no better.
		return retryNoConnection
	}
	if retry.Free(attempt.step) {
		j.unreached++
		if j.unreached > maxUnreachable {
			return retryNoAttempts
		}
		return retryAllowed
	}
	switch {
	case attempt.step != retry.Refused && j.route.Repeat != retry.Safe:
		return retryMayHaveRun
	case h.Guard.HeldFor(j.fingerprint()) > 0:
		return retryQuarantined
	case j.runs >= j.route.Attempts || j.sends-j.runs > maxRejections:
		return retryNoAttempts
	case !attempt.budgetUsed && !h.Budget.Retry(j.service, h.Clock()):
		return retryNoBudget
	default:
		return retryAllowed
	}
}
