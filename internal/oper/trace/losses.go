package trace

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
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

// maxKeys is the maximum number of distinct keys in a table. Requests with further keys are
// counted under overflowKey.
const (
	maxKeys     = 10_000
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

// lossTable counts requests by key.
type lossTable map[string]*Row

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
	row.Ended++
	if lost {
		row.Lost++
		row.Worth += worth
	}
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

// Summarize reads logs and summarizes the lost requests.
func Summarize(sources []Source, criteria Criteria) (Losses, error) {
	var total Row
	causes, routes, workspaces, routers, targets, seconds := lossTable{}, lossTable{}, lossTable{}, lossTable{}, lossTable{}, lossTable{}
	bad, err := Read(sources, func(line Line) {
		if line.Message != requestMessage {
			return
		}
		cause, worth := criteria.cause(line), criteria.weight(line.Route)
		lost := cause != causeNone
		total.Ended++
		if lost {
			total.Lost++
			total.Worth += worth
		}
		causes.add(cause, lost, worth)
		routes.add(line.Route, lost, worth)
		workspaces.add(line.Workspace, lost, worth)
		routers.add(line.Router, lost, worth)
		targets.add(line.Target, lost, worth)
		seconds.add(strconv.FormatInt(line.Time.Unix(), 10), lost, worth)
	})
	return Losses{
		Ended: total.Ended, Lost: total.Lost, Worth: total.Worth,
		Causes: causes.rowsWithLosses(), Routes: routes.rowsWithLosses(), Workspaces: workspaces.rowsWithLosses(), Routers: routers.rowsWithLosses(),
		Targets: targets.rowsWithLosses(), Seconds: secondsInOrder(seconds), BadLines: bad,
	}, err
}

// secondsInOrder converts a table keyed by Unix second to a list sorted by time.
func secondsInOrder(c lossTable) []Second {
	out := []Second{}
	for key, row := range c {
		unix, err := strconv.ParseInt(key, 10, 64)
		if err != nil {
			// The overflow row has no second.
			continue
		}
		out = append(out, Second{Unix: unix, Good: row.Ended - row.Lost, Lost: row.Lost})
	}
	slices.SortFunc(out, func(a, b Second) int { return cmp.Compare(a.Unix, b.Unix) })
	return out
}
