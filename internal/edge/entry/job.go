package entry

import (
	"cmp"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/memory"
	"valescale/internal/rule/crash"
	"valescale/internal/rule/match"
	"valescale/internal/rule/place"
	"valescale/internal/rule/retry"
	"valescale/internal/share/origin"
)

// job is the state of one request.
type job struct {
	call   Call
	method string
	path   string
	host   string
	header http.Header
	// headerSize is the size of the request line and the header in bytes.
	headerSize int
	// body is closed when the request ends.
	body      *memory.Buffer
	bodyLimit int64
	revision  ident.Revision
	route     *match.Route
	workspace *match.Workspace
	service   ident.Service
	// origin is that of a stream that the caller resumes. version is the only version of the service that may
	// go on with the answer, empty until its first part is sent.
	origin  origin.Found
	version ident.Version
	// expectedVersion is that of the first target to which a stream was sent. unexpected is set once it was sent to one
	// of another version.
	expectedVersion ident.Version
	unexpected      bool
	// serviceObserved is for how long this router had observed the targets of the service when the origin was sought.
	serviceObserved time.Duration
	// versionUnknown is set if the version of the target that sent the first part may be another one than this
	// router has. No target may go on then.
	versionUnknown bool
	// versionConfirmed is set if the version of the latest target was current when it was found.
	versionConfirmed bool
	// lookupName is the name under which the last target was sought: that of the service or of its
	// canary version.
	lookupName ident.Service
	// copiesCache is set when the engines of the service can copy cached prompt prefixes from each
	// other.
	copiesCache bool
	// parts are the parts of the prompt that other requests may share, in order.
	parts []ident.PartHash
	// quarantinedFor is the trait for which the request was rejected.
	quarantinedFor crash.Trait
	// trial is set if the latest attempt is a trial after a quarantine.
	trial        bool
	placementKey ident.ChatKey
	arrived      time.Time
	// deadline is the request deadline, by which the final answer is due.
	deadline time.Time
	// avoid contains the targets of earlier attempts.
	avoid []ident.TargetHash
	// sends counts the attempts that reached a target, runs those that the target may have run,
	// and unreached those that reached none.
	sends     int
	runs      int
	unreached int
	// outcome is the combined outcome of all attempts so far.
	outcome retry.Outcome
	// placementErr is the reason for which no target was found.
	placementErr error
	// headSent is set once a part of an answer has been sent to the caller.
	headSent bool
	// caller is the connection of the caller, nil if it is not known.
	caller *callerConn
	// marksEnd is set if the framing of the answer sent to the caller marks its end.
	marksEnd bool
	// streamWriter writes a stream to the caller; nil until a stream is forwarded.
	streamWriter *streamWriter
	// lastRequest and lastPlacement are the most recent request to the finder and placement, which is nil before the first.
	lastRequest   route.TargetRequest
	lastPlacement *route.Placement
	// successor seeks the next attempt while the current one is silent; nil if none may follow. next is the attempt
	// that has begun in its place, and sent its request once it is the current one.
	successor *successor
	next      *certainAttempt
	sent      *sentRequest
	// kept is the latest failure of a target that made way for another attempt, or nil.
	kept *keptFailure
	// via is the router through which the latest answer came, or empty for a direct connection.
	via ident.Router
	// lastEvent is the ID of the last event sent to the caller.
	lastEvent EventID
	// eventMissing is set once an attempt has ended inside an event, which the rest of the stream must bring.
	eventMissing bool
	// cachedTraits are the traits, or nil until they are computed.
	cachedTraits []crash.Trait
	// found and first are the times until a target was found and until the first byte of the
	// answer; zero before that.
	found time.Duration
	first time.Duration
	// progress is that of the latest attempt.
	progress progress
}

// maxParts limits the parts of a prompt by which the guard knows a request. Later parts are ignored.
const maxParts = 64

// sharedParts returns the parts of a prompt that other requests may share: all but the last.
func sharedParts(parts []PromptPart) []ident.PartHash {
	if len(parts) < 2 {
		return nil
	}
	parts = parts[:min(len(parts)-1, maxParts)]
	out := make([]ident.PartHash, 0, len(parts))
	for _, p := range parts {
		out = append(out, ident.NewPartHash(p.ID))
	}
	return out
}

// sharesPrefix reports whether the request shares a prompt prefix with others.
func (j *job) sharesPrefix() bool { return j.route.Sticky && len(j.call.Parts) > 0 }

// newPlacementKey returns the key of requests that should be placed at the same target: the last
// prompt part that is shared with other requests.
func (j *job) newPlacementKey() ident.ChatKey {
	parts := j.call.Parts
	if !j.sharesPrefix() {
		return ident.NewChatKey(j.workspace.Name, string(cmp.Or(j.streamID(), j.call.ID)))
	}
	shared := parts[max(len(parts)-2, 0)]
	return ident.NewChatKey("", shared.ID)
}

// parentKey returns the key of the prompt part before the one that the placement key stands for, or
// zero if there is none. It has 32 bits, the size in which routers exchange it.
func (j *job) parentKey() ident.ChatKey {
	parts := j.call.Parts
	if !j.sharesPrefix() || len(parts) < 3 {
		return 0
	}
	return ident.NewChatKey("", parts[len(parts)-3].ID) & math.MaxUint32
}

// rankLevels is the number of distinct ranks of routes, and of workspaces. Higher rank numbers,
// which mean lower urgency, count as the last.
const rankLevels = 16

// traits returns the properties that may be why targets crash under the request: first its fingerprint,
// which identifies it within its workspace and is the same when it is repeated, then the parts of its
// prompt.
func (j *job) traits() []crash.Trait {
	if j.cachedTraits == nil {
		fingerprint := ident.NewFingerprint(j.workspace.Name, j.host, ident.HashRequest(j.method, j.path, j.body.Segments()...))
		j.cachedTraits = crash.Traits(fingerprint, j.parts)
	}
	return j.cachedTraits
}

// priority combines the ranks of workspace and route into one number; a higher number is more
// urgent.
func (j *job) priority() int {
	level := func(rank int) int { return rankLevels - 1 - min(max(rank, 0), rankLevels-1) }
	return level(j.workspace.Rank)*rankLevels + level(j.route.Rank)
}

// defaultWaitRatio is the share of its time that a request without an objective may wait for a
// target. The rest must suffice for the answer.
const defaultWaitRatio = 0.5

// wait returns the maximum time from arrival that the request may wait for a target. It is the
// objective less the expected time to the first byte. A request that waits longer misses its
// objective in any case, and delays the requests behind it.
func (j *job) wait(expected time.Duration) time.Duration {
	if j.route.Objective <= 0 {
		return time.Duration(float64(j.deadline.Sub(j.arrived)) * defaultWaitRatio)
	}
	return max(min(j.route.Objective, j.deadline.Sub(j.arrived))-expected, 0)
}

// waitUntil returns until when the request may wait for a target. The caller of a stream that has begun waits for its
// next event.
func (j *job) waitUntil(now time.Time, expected time.Duration) time.Time {
	until := j.arrived.Add(j.wait(expected))
	next := now.Add(j.eventTimeout())
	if !j.headSent || next.Before(until) {
		return until
	}
	if next.After(j.deadline) {
		return j.deadline
	}
	return next
}

// placementRequest returns the request to the finder. The expected time is that from the placement
// to the first byte of the answer.
func (j *job) placementRequest(now time.Time, expected time.Duration) route.TargetRequest {
	return route.TargetRequest{
		Service:   j.service,
		Workspace: j.workspace.Name,
		Weight:    1,
		Priority:  j.priority(),
		Key:       j.placementKey,
		Once:      !j.sharesPrefix(),
		Work:      ident.OneRequest,
		Deadline:  j.waitUntil(now, expected),
		Avoid:     j.avoid,
		Due:       j.due(),
		Parent:    j.parentKey(),
	}
}

// due returns when the first byte of the answer is due, or zero without an objective.
func (j *job) due() time.Time {
	if j.route.Objective <= 0 {
		return time.Time{}
	}
	return j.arrived.Add(j.route.Objective)
}

// timely reports whether the first byte and the events of the answer met the objectives of the route.
func (j *job) timely() bool {
	late := j.route.Objective > 0 && j.first > j.route.Objective
	paused := j.route.Stream && j.route.GapObjective > 0 && j.progress.longestGap > j.route.GapObjective
	return !late && !paused
}

// ended reports the end of a request to the observer and logs it.
func (h *Handler) ended(j *job, reason Reason, status int) {
	e := j.newEnd(h.Clock())
	e.Reason, e.Status = reason, status
	h.Observer.Ended(e)
	h.logEnd(j, e)
}

// newEnd returns the end of the request at the given time, without reason and status.
func (j *job) newEnd(now time.Time) End {
	e := End{Service: j.service, Sends: j.sends, Found: j.found, First: j.first, Total: now.Sub(j.arrived)}
	if j.route != nil {
		e.Route = j.route.Name
		e.Timely = j.timely()
	}
	if j.lastPlacement != nil {
		e.Rule = j.lastPlacement.Basis.Rule
	}
	if j.workspace != nil {
		e.Workspace = j.workspace.Name
	}
	return e
}

// logEnd logs the end of a request.
func (h *Handler) logEnd(j *job, e End) {
	var target, holder ident.Target
	var version ident.Version
	var home ident.Router
	var basis place.Basis
	warm := false
	size := j.size()
	if j.lastPlacement != nil {
		basis = j.lastPlacement.Basis
		target, warm, home = j.lastPlacement.Target.ID, j.lastPlacement.Warm, j.lastPlacement.Home
		version = j.lastPlacement.Target.Version
		if j.lastPlacement.Holder != nil {
			holder = j.lastPlacement.Holder.ID
		}
	}
	fields := []any{
		"msg", "request", "request", j.call.ID, "route", e.Route, "workspace", e.Workspace,
		"service", e.Service, "revision", j.revision, "reason", e.Reason, "status", e.Status, "sends", e.Sends, "outcome", j.outcome,
		"target", target, "target_version", version, "key", strconv.FormatUint(uint64(j.placementKey), 16), "warm", warm, "holder", holder, "home", home, "via", j.via,
		"rule", basis.Rule, "load", basis.Load.Requests(), "mean", basis.Mean.Requests(),
		"found_ms", e.Found.Milliseconds(), "first_ms", e.First.Milliseconds(), "whole_ms", e.Total.Milliseconds(),
		"framing", j.progress.framing, "ending", j.progress.ending, "bytes", j.progress.bytes,
		"pace", float64(j.progress.pace), "events", j.progress.events, "gap_ms", j.progress.longestGap.Milliseconds(),
		"parts", crash.Join(crash.Parts(j.parts)), "held_for", j.quarantinedFor.Label(), "own_tokens", size.Own, "prefix_tokens", size.Prefix, "output_tokens", size.Output,
		"err", j.placementErr,
	}
	_ = level.Info(h.Logger).Log(append(fields, j.originFields()...)...)
}

// originFields returns the log fields of a stream that the caller resumes, or none.
func (j *job) originFields() []any {
	if j.call.LastEvent == "" {
		return nil
	}
	return []any{
		"last_event", j.call.LastEvent, "resumes", j.call.Resumes, "origin", j.origin.Source, "origin_version", j.origin.Version,
		"origin_from", j.origin.From, "asked", j.origin.Asked, "answered", j.origin.Answered,
		"observed_ms", j.serviceObserved.Milliseconds(),
	}
}

// logAttempt logs a failed attempt and the retry decision.
func (h *Handler) logAttempt(j *job, placement *route.Placement, attempt result, decision retryDecision) {
	usage := h.Budget.Usage(j.service, h.Clock())
	_ = level.Info(h.Logger).Log("msg", "attempt failed", "request", j.call.ID, "fingerprint", j.traits()[0], "service", j.service, "target", placement.Target.ID,
		"target_version", placement.Target.Version, "addr", placement.Target.Addr, "step", attempt.step, "status", attempt.status, "reason", attempt.reason, "err", attempt.err,
		"framing", j.progress.framing, "ending", j.progress.ending, "bytes", j.progress.bytes, "events", j.progress.events,
		"took_ms", attempt.took.Milliseconds(), "sends", j.sends, "next", decision,
		"window_requests", usage.Requests, "window_steady", usage.Steady, "window_retries", usage.Retries, "retry_limit", usage.Limit, "routers", usage.Routers)
}
