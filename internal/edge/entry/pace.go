package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/pace"
)

// progress is the progress of an attempt's answer.
type progress struct {
	// pace is the pace that the target reported, zero for none.
	pace pace.Pace
	// framing is how the end of the answer is marked, bytes the received size of its body, and ending how
	// it ended, or empty while it has not.
	framing relay.BodyFraming
	bytes   int64
	ending  Ending
	// events is the number of events of a stream, longestGap the longest time between two reads of
	// them.
	events     int
	longestGap time.Duration
	// firstAt and lastAt are when the first and the last event arrived.
	firstAt time.Time
	lastAt  time.Time
}

// add adds complete events that arrived together, and the comments between them, which do not count.
func (p *progress) add(now time.Time, events []byte) {
	if p.firstAt.IsZero() {
		p.firstAt = now
	} else {
		p.longestGap = max(p.longestGap, now.Sub(p.lastAt))
	}
	p.lastAt = now
	for event := range splitEvents(events) {
		if insideEvent(event) {
			p.events++
		}
	}
}

// size returns the size of the request as far as it is known before the answer.
func (j *job) size() pace.Size {
	var s pace.Size
	last := len(j.call.Parts) - 1
	for i, part := range j.call.Parts {
		if i < last {
			s.Prefix += part.Tokens
		} else {
			s.Own += part.Tokens
		}
	}
	s.Output = j.call.ExpectedOutput
	if limit := j.call.MaxOutput; limit > 0 && s.Output > limit {
		s.Output = limit
	}
	return s
}

// reportPace reports the pace in a target's answer to the finder.
func (h *Handler) reportPace(j *job, placement *route.Placement, reply Reply) {
	if !reply.HasPace || reply.AddressReassigned {
		return
	}
	if !reply.Pace.Valid() {
		if h.invalidPaces.first(placement.Target.ID) {
			_ = level.Warn(h.Logger).Log("msg", "target reported an invalid pace", "request", j.call.ID,
				"target", placement.Target.ID, "pace", float64(reply.Pace))
		}
		return
	}
	j.progress.pace = reply.Pace
	h.Finder.ReportPace(pace.Report{Target: placement.Hash, Reported: reply.Pace})
}

// comparable reports whether the time of an answer can be compared with that of others of its route.
// Failures are not, nor are answers of a second attempt, which may continue a stream, nor those that
// were too long to be buffered and waited for their caller.
func (j *job) comparable(attempt result) bool {
	waited := j.headSent && !j.route.Stream
	return attempt.complete && attempt.status < http.StatusMultipleChoices && j.sends == 1 && !waited
}

// measure reports how long a complete answer took compared with others of its route.
func (h *Handler) measure(j *job, placement *route.Placement, began time.Time, took time.Duration) {
	f := pace.Finished{
		Size: j.size(), Cached: placement.Warm, First: took, Whole: took, Events: j.progress.events,
	}
	if f.Events > 0 {
		f.First, f.Whole = j.progress.firstAt.Sub(began), j.progress.lastAt.Sub(began)
	}
	measured, expected := h.meter.Add(j.service, pace.Kind(j.route.Name), f)
	if reported := j.progress.pace; reported > 0 {
		expected = time.Duration(float64(reported) * float64(expected))
	}
	if expected > 0 {
		h.Finder.ReportPace(pace.Report{Target: placement.Hash, Took: measured, Expected: expected})
	}
}

// maxLogged limits the number of targets that are remembered as logged.
const maxLogged = 4096

// logged remembers for which targets a line was logged.
type logged struct {
	mu      sync.Mutex
	targets map[ident.Target]struct{}
}

// first reports whether this is the first call for a target.
func (l *logged) first(target ident.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.targets[target]; known {
		return false
	}
	if l.targets == nil || len(l.targets) >= maxLogged {
		l.targets = map[ident.Target]struct{}{}
	}
	l.targets[target] = struct{}{}
	return true
}
