package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"valescale/internal/plat/pause"
	"valescale/internal/rule/match"
)

// accept finds the request's route, workspace and service. With a problem the job holds
// what was found before it.
func (h *Handler) accept(r *http.Request) (*job, *problem) {
	j := &job{
		arrived: h.Clock(), call: h.Dialect.Read(r.Header),
		method: r.Method, path: r.RequestURI, host: r.Host, header: r.Header,
	}
	delay := h.acceptDelay(r.Context())
	j.arrived = j.arrived.Add(-delay)
	table := h.table(r.Context(), j)
	if table == nil {
		return j, rejection(NoConfiguration, 0)
	}
	j.revision = table.Revision
	if limit := table.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return j, &problem{status: http.StatusRequestHeaderFieldsTooLarge, reason: HeaderTooLarge}
	}
	if p := h.resolve(table, j); p != nil {
		return j, p
	}
	j.bodyLimit = table.Limits.BodyBytes
	j.deadline = j.arrived.Add(j.route.Timeout)
	if wait := j.call.Wait; wait > 0 && wait < j.route.Timeout {
		j.deadline = j.arrived.Add(wait)
	}
	if delay > 0 && !j.arrived.Add(j.wait(h.latency.firstByteTime(j.route.Name))).After(h.Clock()) {
		// It would be late in any case, and make those late that come after it.
		return j, rejection(Overloaded, delay)
	}
	j.placementKey = j.newPlacementKey()
	j.service = j.route.ServiceOf(j.placementKey)
	j.copiesCache = table.Service(j.service).Copies
	return j, nil
}

// waitedUnread is how long a request has waited to be read while this router reads its callers late,
// else zero.
func (h *Handler) acceptDelay(ctx context.Context) time.Duration {
	delay := unreadTime(ctx)
	if h.Gate == nil || !h.Gate.recordRead(delay) {
		return 0
	}
	return delay
}

// find finds the request's route by host and path, and its workspace by key.
func (h *Handler) resolve(table *match.Table, j *job) *problem {
	path, _, _ := strings.Cut(j.path, "?")
	matched, err := table.Route(j.host, path)
	if err != nil {
		return h.notFound(http.StatusNotFound, NoRoute)
	}
	j.route = matched
	workspace, err := table.Workspace(matched, j.call.Key)
	if err != nil {
		return h.notFound(http.StatusUnauthorized, UnknownKey)
	}
	j.workspace = workspace
	return nil
}

const (
	// startWait is how long after its start a router holds requests until it has learnt the
	// configuration, which takes it some 50 ms, and half a second if one of 1,200 routes comes over a
	// link of 10 Mbit/s. With 250 ms, 123 of 2,000 tries in the two seconds after 65 boxes came back
	// together were refused, with a second 23 to 48, and as many were served in time. A router that
	// knows none by then may not for seconds, and refuses at once: its callers reach others meanwhile.
	startupConfigTimeout = time.Second
	// startShare is the part of its own time for which a request is held then: the rest does for an
	// answer here, or for another try elsewhere.
	startupWaitRatio = 0.25
	// startLook is the pause between two looks for the configuration: a fiftieth of the
	// wait, so that looking adds next to nothing to it.
	startupPollInterval = 5 * time.Millisecond
)

// table returns the configuration, waiting a little for it while the router starts.
func (h *Handler) table(ctx context.Context, j *job) *match.Table {
	until := h.startedAt.Add(startupConfigTimeout)
	if callerLimit := j.arrived.Add(time.Duration(startupWaitRatio * float64(j.call.Wait))); j.call.Wait > 0 && callerLimit.Before(until) {
		until = callerLimit
	}
	for {
		table := h.Rules.Table()
		if table != nil || ctx.Err() != nil || !h.Clock().Before(until) {
			return table
		}
		pause.For(ctx, startupPollInterval)
	}
}

// unknown is the answer to a request that the configuration does not know: final if
// the configuration is fresh, else to be tried again.
func (h *Handler) notFound(status int, reason Reason) *problem {
	if !h.Rules.Fresh() {
		return rejection(reason, 0)
	}
	return &problem{status: status, reason: reason}
}

// headerBytes is the size of a request's header as it is commonly counted: the request
// line and each field with its separators.
func headerBytes(r *http.Request) int {
	const lineEnd, separator = len("\r\n"), len(": ")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  ") + lineEnd
	size += len("Host") + separator + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + separator + len(value) + lineEnd
		}
	}
	return size
}
