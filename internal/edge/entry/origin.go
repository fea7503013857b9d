package entry

import (
	"context"
	"time"

	"valescale/internal/edge/route"
	"valescale/internal/plat/fault"
	"valescale/internal/share/origin"
)

// originRetryAfter is the Retry-After delay of a caller that resumes a stream of which nothing is known. The
// routers that keep its origin may not respond at present.
const originRetryAfter = 500 * time.Millisecond

// resumes reports whether the caller goes on with a stream that began with an earlier request.
func (j *job) resumes() bool { return j.route.Stream && j.route.Resumable && j.call.LastEvent != "" }

// streamID returns the ID of the request that brought the first event of the stream, or will bring it. It is
// empty if the caller does not name it.
func (j *job) streamID() RequestID {
	if j.resumes() {
		return j.call.Resumes
	}
	return j.call.ID
}

// streamKey returns the key of the stream, or zero if the caller does not name its first request.
func (j *job) streamKey() origin.Key {
	id := j.streamID()
	if id == "" {
		return 0
	}
	return origin.NewKey(j.workspace.Name, string(id))
}

// checkVersion checks the version of a target that was found against the latest rows, which may be newer than the
// pools, and returns an error if the target must not go on with the answer.
func (h *Handler) checkVersion(j *job, target route.Target) error {
	if !j.route.Stream {
		return nil
	}
	version, confirmed := h.Rules.ConfirmedVersion(target.ID)
	j.versionConfirmed = confirmed && version == target.Version
	if j.version != "" && !j.versionConfirmed {
		return errVersion
	}
	h.expectStream(j, target)
	return nil
}

// expectStream records at which version a stream will probably begin, so that this is in the store by the time of its
// first event. A version that is not confirmed is not recorded: the stream could not be resumed there.
func (h *Handler) expectStream(j *job, target route.Target) {
	key := j.streamKey()
	if key == 0 || j.headSent || j.resumes() || !j.route.Resumable || !j.versionConfirmed || target.Version == "" {
		return
	}
	if j.expectedVersion != "" {
		j.unexpected = j.unexpected || j.expectedVersion != target.Version
		return
	}
	j.expectedVersion = target.Version
	h.Origins.Expected(origin.Record{Key: key, Origin: origin.Origin{Service: j.service, Version: target.Version}})
}

// errVersion is the error of a request that no target may go on with, since the version at which the answer began
// or that of the target that was found may be another one than this router has.
var errVersion = fault.New("entry.acquire", route.NoTarget, route.RetryAfter{Wait: originRetryAfter})

// findOrigin finds out at which version a stream began that the caller resumes. If that is unknown, the
// request is rejected: at another version the rest would not fit to what the caller has.
func (h *Handler) findOrigin(ctx context.Context, j *job) *problem {
	if !j.resumes() {
		return nil
	}
	j.origin = h.Origins.Find(ctx, j.streamKey(), j.service)
	j.serviceObserved = h.Origins.Observed(j.service)
	if !j.origin.Resumable() {
		return rejection(UnknownOrigin, h.originRetryAfter(j))
	}
	if j.origin.Service != j.service && !j.route.SendsTo(j.origin.Service) {
		return rejection(NoTarget, originRetryAfter)
	}
	j.service, j.version = j.origin.Service, j.origin.Version
	j.copiesCache = h.Rules.Table().Service(j.service).CopiesPrefixes
	return nil
}

// withdrawExpected records that a stream began at an unknown version, if another one was expected.
func (h *Handler) withdrawExpected(j *job) {
	if j.expectedVersion != "" {
		h.Origins.BeganUnexpectedly(origin.Record{Key: j.streamKey(), Origin: origin.Origin{Service: j.service}})
	}
}

// originRetryAfter returns when the caller of a stream whose origin was not found may return. If nobody will find it
// later, returning within the caller's own deadline is of no use.
func (h *Handler) originRetryAfter(j *job) time.Duration {
	if !j.origin.Lost {
		return originRetryAfter
	}
	return max(j.deadline.Sub(h.Clock()), originRetryAfter)
}

// beginStream binds the rest of a stream to the version of the target that sends its first part, and records
// its origin. It is called before that part is sent to the caller.
func (h *Handler) beginStream(j *job) {
	defer func() { j.successor.bind(j.version, j.versionUnknown) }()
	if j.versionUnknown = !j.versionConfirmed; j.versionUnknown {
		h.withdrawExpected(j)
		return
	}
	j.version = j.lastPlacement.Target.Version
	key := j.streamKey()
	if j.version == "" {
		h.withdrawExpected(j)
	}
	if key == 0 || j.version == "" || !j.route.Resumable {
		return
	}
	record := origin.Record{Key: key, Origin: origin.Origin{Service: j.service, Version: j.version}}
	if j.unexpected {
		h.Origins.BeganUnexpectedly(record)
		return
	}
	h.Origins.Began(record)
}
