package entry

import (
	"context"

	"valescale/internal/edge/route"
	"valescale/internal/rule/retry"
)

// shouldRetry decides whether a failed attempt is followed by another one.
func (h *Handler) shouldRetry(ctx context.Context, j *job, placement *route.Placement, attempt result) bool {
	j.avoid = append(j.avoid, placement.Hash)
	j.outcome = retry.CombineOutcomes(j.outcome, retry.OutcomeOf(attempt.step))
	reason := h.decideRetry(ctx, j, attempt)
	h.logAttempt(j, placement, attempt, reason)
	return reason == retryAllowed
}

// retryDecision is the decision whether to retry, with its reason.
type retryDecision string

const (
	// retryAllowed means that another attempt follows.
	retryAllowed retryDecision = "again"
	// retryGoesOn means that the silent attempt before this one goes on.
	retryGoesOn retryDecision = "goes_on"
	// retryNoTime means that the request's deadline has expired or its caller has disconnected.
	retryNoTime retryDecision = "no_time"
	// retryMayHaveRun means that the request may have run and must not run twice.
	retryMayHaveRun retryDecision = "may_have_run"
	// retryNoAttempts means that the maximum number of attempts is reached.
	retryNoAttempts retryDecision = "no_attempts"
	// retryNoConnection means that this router cannot open another connection, or has no memory for the answer.
	retryNoConnection retryDecision = "no_room"
	// retryQuarantined means that the request is quarantined because targets crashed under it.
	retryQuarantined retryDecision = "ends_targets"
	// retryNoTarget means that no other target is free.
	retryNoTarget retryDecision = "no_target"
	// retryUnreachable means that another target is free, and accepts no connection.
	retryUnreachable retryDecision = "target_unreachable"
	// retryNoBudget means that the retry budget of the fleet is exhausted.
	retryNoBudget retryDecision = "no_budget"
)

const (
	// maxRejections is the maximum number of targets that may reject one request. After the crash
	// of many targets, their addresses can be reused by other targets before the rows in the store
	// are updated.
	maxRejections = 3
	// maxUnreachable is the maximum number of attempts of one request that reach no target. With
	// that many targets unreachable, the fault is more likely in the router's own link.
	maxUnreachable = 4
)

// decideRetry checks the result of an attempt against the route's limits and the retry budget. It
// takes one retry from the budget unless the attempt already did, or was given up for one that is certain.
func (h *Handler) decideRetry(ctx context.Context, j *job, attempt result) retryDecision {
	if ctx.Err() != nil {
		return retryNoTime
	}
	if attempt.reason == Exhausted || attempt.reason == NoMemory {
		// Other targets would fail in the same way.
		return retryNoConnection
	}
	if j.next != nil {
		return retryAllowed
	}
	if retry.IsFree(attempt.step) {
		j.unreached++
		if j.unreached > maxUnreachable {
			return retryNoAttempts
		}
		return retryAllowed
	}
	switch {
	case attempt.step != retry.Refused && j.route.Repeat != retry.Safe:
		return retryMayHaveRun
	case h.Guard.Quarantine(j.traits()).Left > 0:
		return retryQuarantined
	case j.runs >= j.route.Attempts || j.sends-j.runs > maxRejections:
		return retryNoAttempts
	case !attempt.budgetUsed && !h.Budget.Retry(j.service, h.Clock()):
		return retryNoBudget
	default:
		return retryAllowed
	}
}
