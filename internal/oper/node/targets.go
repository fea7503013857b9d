package node

import (
	"bytes"
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/share/feed"
	"valescale/internal/share/peer"
)

// reading is what one writing of a target's row says; a row with an error names no target. A version alone
// does not tell a writing: a store that comes back from an older copy gives versions out again.
type reading struct {
	version table.Version
	value   []byte
	target  Target
	err     error
	// service is the target's own; its box names the one under which it is kept while versions are on trial.
	service ident.Service
	// since is the incarnation as the target says it itself.
	since ident.Incarnation
	// gone is when the row went, zero while it is there.
	gone time.Time
}

// names reports whether there is a row and it names a target.
func (r reading) names() bool { return r.err == nil && r.gone.IsZero() && r.target.ID != "" }

// same reports whether a row is the writing that was read.
func (r reading) same(row table.Row) bool {
	return r.version == row.Version && bytes.Equal(r.value, row.Value)
}

// goneKept is for how long what a row said is remembered after it has gone: a target that starts
// again is back within seconds, and is to be known for another incarnation.
const goneKept = time.Minute

// departure is a row that went.
type departure struct {
	key  table.Key
	when time.Time
}

// setTargets takes in the targets' rows that changed. It returns what is new of the targets, and the addresses of
// those that have started anew under their names. It costs by what changed: with 10,000 targets of which some
// come every moment, a look at all of them each time was most of what a router did.
func (s *state) setTargets(change feed.Change) (news peer.TargetNews, restarted []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for _, row := range change.Rows {
		before := s.readings[row.Key]
		after := before
		if !before.same(row) {
			after = s.readTarget(row, before)
		}
		after.gone = time.Time{}
		s.replaceReading(row.Key, before, after, change.At)
		switch {
		case after.names():
			news.Boxes = append(news.Boxes, after.target.Box)
			restarted = append(restarted, s.restarted(before, after)...)
		case before.names():
			news.Gone = append(news.Gone, ident.Target(row.Key))
		}
	}
	for _, key := range change.Gone {
		before, known := s.readings[key]
		if !known || !before.gone.IsZero() {
			continue
		}
		after := before
		after.gone = now
		s.replaceReading(key, before, after, change.At)
		s.departed = append(s.departed, departure{key: key, when: now})
		news.Gone = append(news.Gone, ident.Target(key))
	}
	s.forgetDeparted(now)
	return news, restarted
}

// replaceReading puts what a row says in place of what it said, counts its target and logs what changed of it;
// the caller holds the lock.
func (s *state) replaceReading(key table.Key, before, after reading, at table.Position) {
	s.readings[key] = after
	s.count(before, -1)
	s.count(after, 1)
	s.noteCold(ident.Target(key), after)
	switch {
	case after.names() && (!before.names() || before.target.Box != after.target.Box):
		t := after.target
		_ = level.Info(s.logger).Log("msg", "target", "target", t.ID, "state", t.State, "addr", t.Addr,
			"service", t.Service, "zone", t.Zone, "era", at.Era, "version", at.Version)
	case before.names() && !after.names():
		_ = level.Info(s.logger).Log("msg", "target", "target", key, "state", "gone", "era", at.Era, "version", at.Version)
	}
}

// count adds a target that takes new work to those of its service, or takes it off.
func (s *state) count(r reading, by int) {
	if r.names() && r.target.State == boxes.Live {
		s.counts[r.target.Service] += by
	}
}

// forgetDeparted forgets the rows that went long ago; the caller holds the lock.
func (s *state) forgetDeparted(now time.Time) {
	for len(s.departed) > 0 && now.Sub(s.departed[0].when) >= goneKept {
		first := s.departed[0]
		s.departed = s.departed[1:]
		if s.readings[first.key].gone.Equal(first.when) {
			delete(s.readings, first.key)
		}
	}
}

// readTarget decodes a row that was read otherwise before. A target that starts again tells a later
// time, unless its clock was set back meanwhile: an incarnation is above the one before in any case.
func (s *state) readTarget(row table.Row, before reading) reading {
	target, err := s.rows.Target(row)
	r := reading{version: row.Version, value: row.Value, target: target, err: err, service: target.Service, since: target.Incarnation}
	r.target.Service = s.nameOf(target.Service, target.Version)
	switch {
	case err != nil:
		_ = level.Error(s.logger).Log("msg", "a target's row names no target", "target", row.Key, "era", row.Era, "version", row.Version, "err", err)
		// Should its own row come back, it goes on from here.
		r.since, r.target.Incarnation = before.since, before.target.Incarnation
	case before.since == r.since:
		r.target.Incarnation = before.target.Incarnation
	case before.since != 0:
		r.target.Incarnation = max(r.since, before.target.Incarnation+1)
	}
	return r
}

// restarted is the address at which a known target has started anew, or nothing.
func (s *state) restarted(before, after reading) []string {
	if !before.names() || before.target.Incarnation == after.target.Incarnation {
		return nil
	}
	_ = level.Info(s.logger).Log("msg", "target started anew", "target", after.target.ID,
		"incarnation", after.target.Incarnation, "was", before.target.Incarnation)
	return []string{before.target.Addr}
}

// regroup keeps targets under the services that trials of versions want them under now, and returns those that
// changed.
func (s *state) regroup() (news peer.TargetNews) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, before := range s.readings {
		name := s.nameOf(before.service, before.target.Version)
		if !before.names() || name == before.target.Service {
			continue
		}
		after := before
		after.target.Service = name
		s.replaceReading(key, before, after, table.Position{Version: before.version})
		news.Boxes = append(news.Boxes, after.target.Box)
	}
	return news
}
