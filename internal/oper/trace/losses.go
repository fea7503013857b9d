package trace

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Criteria defines the weights of requests and the latency above which an answer is late.
type Criteria struct {
	// Weights contains the weight of a request by route. The default is 1.
	Weights map[string]float64
	// Objectives contains the maximum time to first byte by route. Answers of a route
	// without an objective are never late.
	Objectives map[string]time.Duration
}

// weight returns the weight of a request of a route.
func (c Criteria) weight(route string) float64 {
	if w, ok := c.Weights[route]; ok {
		return w
	}
	return 1
}

const (
	// causeNone is the cause of a request that is not lost: it was answered in time.
	causeNone = ""
	// causeLateFound is the cause of a late answer if finding a target took more than half of
	// the time to first byte. causeLateTarget is the cause of any other late answer.
	causeLateFound  = "late_found"
	causeLateTarget = "late_target"
	// causeTargetFailed is the cause of a request that the target answered with a server error.
	causeTargetFailed = "target_failed"
	// reasonServed is the logged reason of requests that were answered by a target.
	reasonServed = "served"
	// endingUnmarked is the logged ending of answers whose target closed the connection without marking the
	// end, and that nothing shows to be broken.
	endingUnmarked = "unmarked"
	// minFailureStatus is the lowest HTTP status that counts as a failure of the target.
	minFailureStatus = 500
)

// cause returns why a request was lost, or causeNone if it was not lost.
func (c Criteria) cause(line Line) string {
	if line.Reason != reasonServed {
		return line.Reason
	}
	if line.Status >= minFailureStatus {
		return causeTargetFailed
	}
	objective, ok := c.Objectives[line.Route]
	first := time.Duration(line.FirstMS) * time.Millisecond
	switch {
	case !ok || first <= objective:
		return causeNone
	case 2*line.FoundMS > line.FirstMS:
		return causeLateFound
	default:
		return causeLateTarget
	}
}

const (
	// maxKeys is the maximum number of distinct keys in a table.
	maxKeys = 10_000
	// overflowKey is the key under which requests with further keys are counted.
	overflowKey = "(others)"
)

// Row counts the requests that have the same key.
type Row struct {
	Key string `json:"key"`
	// Ended counts all requests and Lost the lost ones. Worth is the sum of the weights of
	// the lost requests.
	Ended int     `json:"ended"`
	Lost  int     `json:"lost"`
	Worth float64 `json:"worth"`
}

// add counts a request.
func (r *Row) add(lost bool, worth float64) {
	r.Ended++
	if lost {
		r.Lost++
		r.Worth += worth
	}
}

// lossTable counts requests by key.
type lossTable map[string]*Row

// add counts a request under a key.
func (c lossTable) add(key string, lost bool, worth float64) {
	row, ok := c[key]
	if !ok && len(c) >= maxKeys {
		key = overflowKey
		row, ok = c[key]
	}
	if !ok {
		row = &Row{Key: key}
		c[key] = row
	}
	row.add(lost, worth)
}

// rowsWithLosses returns the rows with lost requests, sorted by descending worth.
func (c lossTable) rowsWithLosses() []Row {
	out := []Row{}
	for row := range maps.Values(c) {
		if row.Lost > 0 {
			out = append(out, *row)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Or(cmp.Compare(b.Worth, a.Worth), cmp.Compare(a.Key, b.Key)) })
	return out
}

// Second counts the requests that ended in one second. Good requests were answered in time.
type Second struct {
	Unix int64 `json:"unix"`
	Good int   `json:"good"`
	Lost int   `json:"lost"`
}

// Losses summarizes the lost requests found in logs.
type Losses struct {
	Ended int     `json:"ended"`
	Lost  int     `json:"lost"`
	Worth float64 `json:"worth"`
	// UnmarkedStreams counts the streams that were not lost as far as the logs show, but whose end the target
	// did not mark: some of them may be incomplete.
	UnmarkedStreams int `json:"unmarked_streams"`
	// Causes and the tables below contain the rows with lost requests, sorted by descending
	// worth.
	Causes     []Row `json:"causes"`
	Routes     []Row `json:"routes"`
	Workspaces []Row `json:"workspaces"`
	Routers    []Row `json:"routers"`
	Targets    []Row `json:"targets"`
	// Seconds are sorted by time.
	Seconds  []Second `json:"seconds"`
	BadLines BadLines `json:"bad_lines"`
}

// lossTables counts the requests of a log by each of their properties.
type lossTables struct {
	criteria Criteria
	total    Row
	unmarked int

	causes     lossTable
	routes     lossTable
	workspaces lossTable
	routers    lossTable
	targets    lossTable
	seconds    secondTable
}

// Summarize reads logs and summarizes the lost requests.
func Summarize(sources []Source, criteria Criteria) (Losses, error) {
	tables := lossTables{
		criteria: criteria,
		causes:   lossTable{}, routes: lossTable{}, workspaces: lossTable{}, routers: lossTable{}, targets: lossTable{},
		seconds: secondTable{},
	}
	bad, err := Read(sources, tables.add)
	losses := tables.losses()
	losses.BadLines = bad
	return losses, err
}

// add counts a request if the line logs its end.
func (t *lossTables) add(line Line) {
	if line.Message != requestMessage {
		return
	}
	cause, worth := t.criteria.cause(line), t.criteria.weight(line.Route)
	lost := cause != causeNone
	t.total.add(lost, worth)
	if !lost && line.Events > 0 && line.Ending == endingUnmarked {
		t.unmarked++
	}
	t.causes.add(cause, lost, worth)
	t.routes.add(line.Route, lost, worth)
	t.workspaces.add(line.Workspace, lost, worth)
	t.routers.add(line.Router, lost, worth)
	t.targets.add(line.Target, lost, worth)
	t.seconds.add(line.Time.Unix(), lost)
}

// losses returns the summary.
func (t *lossTables) losses() Losses {
	return Losses{
		Ended: t.total.Ended, Lost: t.total.Lost, Worth: t.total.Worth, UnmarkedStreams: t.unmarked,
		Causes:     t.causes.rowsWithLosses(),
		Routes:     t.routes.rowsWithLosses(),
		Workspaces: t.workspaces.rowsWithLosses(),
		Routers:    t.routers.rowsWithLosses(),
		Targets:    t.targets.rowsWithLosses(),
		Seconds:    t.seconds.inOrder(),
	}
}

// secondTable counts requests by the Unix second of their end. Requests in further seconds than maxKeys
// are not counted.
type secondTable map[int64]*Second

// add counts a request.
func (t secondTable) add(unix int64, lost bool) {
	second, ok := t[unix]
	if !ok && len(t) >= maxKeys {
		return
	}
	if !ok {
		second = &Second{Unix: unix}
		t[unix] = second
	}
	if lost {
		second.Lost++
		return
	}
	second.Good++
}

// inOrder returns the seconds sorted by time.
func (t secondTable) inOrder() []Second {
	out := []Second{}
	for second := range maps.Values(t) {
		out = append(out, *second)
	}
	slices.SortFunc(out, func(a, b Second) int { return cmp.Compare(a.Unix, b.Unix) })
	return out
}
