package trace

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Terms say what requests are worth and when an answer is late.
type Terms struct {
	// Weights are the worth of one request by route; others count one.
	Weights map[string]float64
	// Objectives are the longest times to an answer's first byte by route that are in
	// time; without one no answer is late.
	Objectives map[string]time.Duration
}

func (t Terms) weight(route string) float64 {
	if w, ok := t.Weights[route]; ok {
		return w
	}
	return 1
}

const (
	// fine is the cause of a request that was answered in time.
	fine = ""
	// lateFound means that finding a target took most of a late answer's time, lateTarget
	// that the target did.
	lateFound  = "late_found"
	lateTarget = "late_target"
	// failedAnswer means that the target answered with a failure of its own.
	failedAnswer = "target_failed"
	// served is the reason of the requests that got a target's answer.
	served = "served"
	// failureFrom is the lowest status that tells of a target's failure.
	failureFrom = 500
)

// cause says why a request was lost, or nothing if it was not.
func (t Terms) cause(line Line) string {
	if line.Reason != served {
		return line.Reason
	}
	if line.Status >= failureFrom {
		return failedAnswer
	}
	objective, known := t.Objectives[line.Route]
	first := time.Duration(line.FirstMS) * time.Millisecond
	switch {
	case !known || first <= objective:
		return fine
	case 2*line.FoundMS > line.FirstMS:
		return lateFound
	default:
		return lateTarget
	}
}

// maxKeys bounds the values that are told apart in one table; what comes later counts
// under otherKey.
const (
	maxKeys  = 10_000
	otherKey = "(others)"
)

// Row counts the requests with one value.
type Row struct {
	Key string `json:"key"`
	// Ended counts all requests, Lost those that were lost, and Worth what the lost ones
	// were worth.
	Ended int     `json:"ended"`
	Lost  int     `json:"lost"`
	Worth float64 `json:"worth"`
}

// counter counts requests by some value.
type counter map[string]*Row

func (c counter) add(key string, lost bool, worth float64) {
	row, known := c[key]
	if !known && len(c) >= maxKeys {
		key = otherKey
		row, known = c[key]
	}
	if !known {
		row = &Row{Key: key}
		c[key] = row
	}
	row.Ended++
	if lost {
		row.Lost++
		row.Worth += worth
	}
}

// worst lists the rows with something lost, what was worth most first.
func (c counter) worst() []Row {
	out := []Row{}
	for row := range maps.Values(c) {
		if row.Lost > 0 {
			out = append(out, *row)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Or(cmp.Compare(b.Worth, a.Worth), cmp.Compare(a.Key, b.Key)) })
	return out
}

// Second is what ended in one second.
type Second struct {
	Unix int64 `json:"unix"`
	Good int   `json:"good"`
	Lost int   `json:"lost"`
}

// Losses is what logs tell of lost requests.
type Losses struct {
	Ended int     `json:"ended"`
	Lost  int     `json:"lost"`
	Worth float64 `json:"worth"`
	// Causes and the tables after them hold the rows with something lost, the worst first.
	Causes     []Row `json:"causes"`
	Routes     []Row `json:"routes"`
	Workspaces []Row `json:"workspaces"`
	Routers    []Row `json:"routers"`
	Targets    []Row `json:"targets"`
	// Seconds are in order of time.
	Seconds []Second `json:"seconds"`
	Bad     Bad      `json:"bad_lines"`
}

// Sum reads logs and tells what was lost.
func Sum(sources []Source, terms Terms) (Losses, error) {
	var total Row
	causes, routes, workspaces, routers, targets, seconds := counter{}, counter{}, counter{}, counter{}, counter{}, counter{}
	bad, err := Read(sources, func(line Line) {
		if line.Message != requestEnded {
			return
		}
		cause, worth := terms.cause(line), terms.weight(line.Route)
		lost := cause != fine
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
		Causes: causes.worst(), Routes: routes.worst(), Workspaces: workspaces.worst(), Routers: routers.worst(),
		Targets: targets.worst(), Seconds: inOrder(seconds), Bad: bad,
	}, err
}

// inOrder lists what was counted by second.
func inOrder(c counter) []Second {
	out := []Second{}
	for key, row := range c {
		unix, err := strconv.ParseInt(key, 10, 64)
		if err != nil {
			// Those beyond the most that are told apart belong to no second.
			continue
		}
		out = append(out, Second{Unix: unix, Good: row.Ended - row.Lost, Lost: row.Lost})
	}
	slices.SortFunc(out, func(a, b Second) int { return cmp.Compare(a.Unix, b.Unix) })
	return out
}
