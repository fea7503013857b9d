package entry

import (
	"net/http"

	"valescale/internal/edge/guard"
	"valescale/internal/edge/route"
	"valescale/internal/rule/crash"
	"valescale/internal/rule/retry"
)

// reportCanary reports the result of an attempt for the canary decision. An attempt whose caller
// disconnected or did not read, or for which this box had no memory, gives no evidence and is skipped, as is one that the target
// rejected.
func (h *Handler) reportCanary(j *job, attempt result) {
	if attempt.reason == CallerGone || attempt.reason == Unread || attempt.reason == NoMemory || attempt.step == retry.Refused && !attempt.ended {
		return
	}
	h.Canaries.Finished(j.service, j.lookupName, j.route.Name, attempt.succeeded(), attempt.took)
}

// quarantineProblem returns the problem for a quarantined request, or nil. Such a request would
// crash its target, with all other requests that run there, and still get no answer.
func (j *job) quarantineProblem(quarantine crash.Quarantine) *problem {
	if quarantine.Left == 0 {
		return nil
	}
	j.quarantinedFor = quarantine.Trait
	if j.outcome == retry.Unknown {
		return noAnswer(j.outcome, Quarantined, false)
	}
	return rejection(Quarantined, quarantine.Left)
}

// reportToGuard reports broken connections and complete answers, from which the guard detects
// requests under which targets crash. An answer without a marked end shows that the target can work on the
// parts of the prompt. It shows that of the whole request, which may have crashed the target late, only in a
// trial.
func (h *Handler) reportToGuard(j *job, placement *route.Placement, attempt result) {
	answered := attempt.reason == Served && attempt.status < http.StatusMultipleChoices
	switch {
	case attempt.connBroken:
		h.Guard.ReportInterrupted(guard.Interruption{
			Request: string(j.call.ID), Traits: j.traits(), Trial: j.trial, Workspace: j.workspace.Name, Route: j.route.Name,
			Target: placement.Target, Ran: attempt.took,
		})
	case attempt.complete || answered && j.trial:
		h.Guard.Served(j.traits())
	case answered:
		h.Guard.Served(j.traits()[1:])
	case j.trial:
		h.Guard.Abandon(j.traits())
	}
}
