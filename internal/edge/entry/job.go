package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/match"
	"valescale/internal/rule/place"
	"valescale/internal/rule/retry"
)

// job is one request on its way.
type job struct {
	call      Call
	method    string
	path      string
	host      string
	header    http.Header
	body      []byte
	bodyLimit int64
	revision  ident.Revision
	route     *match.Route
	workspace *match.Workspace
	service   ident.Service
	// as is the name under which the latest target was sought: the service's, or that of its version on trial.
	lookupName ident.Service
	// copies says that the service's engines can take cached prompts from each other.
	copiesCache  bool
	placementKey ident.ChatKey
	arrived      time.Time
	// limit is when the final answer is due.
	deadline time.Time
	// avoid are the targets of earlier attempts.
	avoid []ident.TargetHash
	// sends counts the attempts that reached a target, ran those that it may have
	// worked on, free those that reached none.
	sends     int
	runs      int
	unreached int
	// outcome is what is known of the attempts so far taken together.
	outcome retry.Outcome
	// refused is why no target was found.
	placementErr error
	// started is set once a part of an answer has gone to the caller.
	headSent bool
	// outbox passes a stream on to the caller; nil before there is one.
	streamWriter *streamWriter
	// placed is the latest placement, nil before the first.
	lastPlacement *route.Placement
	// last is the id of the last event that the caller has got.
	lastEvent EventID
	// print is the fingerprint, zero until it is asked for.
	cachedFingerprint ident.Fingerprint
	// found and first are the times until a target was found and until the answer's
	// first byte, zero before that.
	found time.Duration
	first time.Duration
}

// shares reports whether the request has something in common with others.
func (j *job) sharesPrefix() bool { return j.route.Sticky && len(j.call.Parts) > 0 }

// placeKey is what requests that should meet at one target have in common: the last
// part of the prompt that is shared with others.
func (j *job) newPlacementKey() ident.ChatKey {
	parts := j.call.Parts
	if !j.sharesPrefix() {
		return ident.NewChatKey(j.workspace.Name, string(j.call.ID))
	}
	shared := parts[max(len(parts)-2, 0)]
	return ident.NewChatKey("", shared.ID)
}

// ranks is the number of ranks that priorities tell apart for routes, and for workspaces;
// lower urgency than that counts as the last.
const rankLevels = 16

// fingerprint tells the request from others of its workspace, and knows it again when it comes anew.
func (j *job) fingerprint() ident.Fingerprint {
	if j.cachedFingerprint == 0 {
		j.cachedFingerprint = ident.NewFingerprint(j.workspace.Name, j.host, ident.HashRequest(j.method, j.path, j.body))
	}
	return j.cachedFingerprint
}

// priority joins the ranks of workspace and route into one number, higher first.
func (j *job) priority() int {
	level := func(rank int) int { return rankLevels - 1 - min(max(rank, 0), rankLevels-1) }
	return level(j.workspace.Rank)*rankLevels + level(j.route.Rank)
}

// waitShare is the part of its time that a request without an objective may wait for a
// target: what is left must do for the answer.
const defaultWaitRatio = 0.5

// wait is how long after its arrival the request may wait for a target: as long as an answer
// can still come within its objective if the target takes to the first byte what is expected
// of it. Whoever waits longer is late in any case, and makes those late that come after.
func (j *job) wait(expected time.Duration) time.Duration {
	if j.route.Objective <= 0 {
		return time.Duration(float64(j.deadline.Sub(j.arrived)) * defaultWaitRatio)
	}
	return max(min(j.route.Objective, j.deadline.Sub(j.arrived))-expected, 0)
}

// ask is what the job needs of the finder; expected is how long the target will take to
// the answer's first byte.
func (j *job) placementRequest(expected time.Duration) route.Ask {
	return route.Ask{
		Service:   j.service,
		Workspace: j.workspace.Name,
		Weight:    1,
		Priority:  j.priority(),
		Key:       j.placementKey,
		Once:      !j.sharesPrefix(),
		Work:      ident.OneRequest,
		Deadline:  j.arrived.Add(j.wait(expected)),
		Avoid:     j.avoid,
	}
}

// ended tells the observer and the log of a request's end.
func (h *Handler) ended(j *job, reason Reason, status int) {
	e := j.newEnd(h.Clock())
	e.Reason, e.Status = reason, status
	h.Observer.Ended(e)
	h.logEnd(j, e)
}

// end is the job's end at some time, without reason and status.
func (j *job) newEnd(now time.Time) End {
	e := End{Service: j.service, Sends: j.sends, Found: j.found, First: j.first, Whole: now.Sub(j.arrived)}
	if j.route != nil {
		e.Route = j.route.Name
	}
	if j.workspace != nil {
		e.Workspace = j.workspace.Name
	}
	return e
}

// logEnd tells the log of a request's end.
func (h *Handler) logEnd(j *job, e End) {
	var target, holder ident.Target
	var home ident.Router
	var basis place.Basis
	warm := false
	if j.lastPlacement != nil {
		basis = j.lastPlacement.Basis
		target, warm, home = j.lastPlacement.Target.ID, j.lastPlacement.Warm, j.lastPlacement.Home
		if j.lastPlacement.Holder != nil {
			holder = j.lastPlacement.Holder.ID
		}
	}
	_ = level.Info(h.Logger).Log("msg", "request", "request", j.call.ID, "route", e.Route, "workspace", e.Workspace,
		"service", e.Service, "revision", j.revision, "reason", e.Reason, "status", e.Status, "sends", e.Sends, "outcome", j.outcome,
		"target", target, "key", strconv.FormatUint(uint64(j.placementKey), 16), "warm", warm, "holder", holder, "home", home,
		"rule", basis.Rule, "load", basis.Load.Requests(), "mean", basis.Mean.Requests(),
		"found_ms", e.Found.Milliseconds(), "first_ms", e.First.Milliseconds(), "whole_ms", e.Whole.Milliseconds(),
		"err", j.placementErr)
}

// logAttempt tells the log of an attempt that brought no answer and what follows.
func (h *Handler) logAttempt(j *job, placement *route.Placement, attempt result, decision retryDecision) {
	_ = level.Info(h.Logger).Log("msg", "attempt failed", "request", j.call.ID, "fingerprint", j.fingerprint(), "service", j.service, "target", placement.Target.ID,
		"addr", placement.Target.Addr, "step", attempt.step, "status", attempt.status, "reason", attempt.reason, "err", attempt.err,
		"took_ms", attempt.took.Milliseconds(), "sends", j.sends, "next", decision)
}
