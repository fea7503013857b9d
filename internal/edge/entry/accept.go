package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"valescale/internal/plat/pause"
	"valescale/internal/rule/match"
)

// accept determines the request's route, workspace and service. If it returns a problem, the job
// contains the fields that were set before it.
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
	j.headerSize = headerBytes(r)
	if limit := table.Limits.HeaderBytes; limit > 0 && j.headerSize > limit {
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
		// The request would miss its objective, and serving it would make the requests behind it
		// miss theirs.
		return j, rejection(Overloaded, delay)
	}
	j.parts = sharedParts(j.call.Parts)
	j.placementKey = j.newPlacementKey()
	j.service = j.route.ServiceOf(j.placementKey)
	j.copiesCache = table.Service(j.service).CopiesPrefixes
	return j, nil
}

// acceptDelay returns how long the request waited between accept and read while this router is
// overloaded, or zero.
func (h *Handler) acceptDelay(ctx context.Context) time.Duration {
	delay := unreadTime(ctx)
	if h.Gate == nil || !h.Gate.recordRead(delay) {
		return 0
	}
	return delay
}

// resolve matches the route by host and path, and the workspace by API key.
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
	// startupConfigTimeout is the period after the start during which requests wait for the
	// configuration. Loading takes about 50 ms, and 0.5 s for 1,200 routes over a link of 10
	// Mbit/s. With 250 ms, 123 of 2,000 requests are rejected in the two seconds after 65 boxes
	// restart together; with 1 s, 23 to 48, and as many are served in time. A router without a
	// configuration after this period may stay without one for seconds. It rejects at once, and
	// its callers reach other routers.
	startupConfigTimeout = time.Second
	// startupWaitRatio is the share of a request's own deadline that it may wait during startup.
	// The rest suffices for an answer, or for a retry at another router.
	startupWaitRatio = 0.25
	// startupPollInterval is the interval between checks for the configuration. At a fiftieth of
	// the loading time it adds next to nothing to the wait.
	startupPollInterval = 5 * time.Millisecond
)

// table returns the configuration, and waits up to startupConfigTimeout for it during startup.
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
		pause.Sleep(ctx, startupPollInterval)
	}
}

// notFound returns the problem for a route or key that is missing from the configuration. It is
// final if the configuration is fresh; otherwise the caller may retry.
func (h *Handler) notFound(status int, reason Reason) *problem {
	if !h.Rules.Fresh() {
		return rejection(reason, 0)
	}
	return &problem{status: status, reason: reason}
}

// headerBytes returns the size of the request's header by the usual count: the request line, and
// each field with its separators.
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
