package node

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/rule/match"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/feed"
	"valescale/internal/share/peer"
)

// coldRows is a fake decoder that returns values set by the test.
type coldRows struct {
	Rows
	left        time.Duration
	incarnation ident.Incarnation
}

func (r *coldRows) Target(table.Row) (Target, error) {
	return Target{Box: boxes.Box{ID: "t", Service: "s", Zone: "a", Incarnation: r.incarnation}, Slots: 12, RemainingColdTime: r.left}, nil
}

// A target is cold for the time that its row reported first, however often the row is read. It is
// cold again when the row reports another time, the target restarts, or its availability zone is
// reopened.
func TestColdTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	rows := &coldRows{left: 3 * time.Second, incarnation: 1}
	version := table.Version(0)
	s := newState(rows, log.NewNopLogger(), func() time.Time { return now })
	s.services = []match.Service{{Name: "s", ColdTime: 3 * time.Second, ColdRate: 13}}
	until := func() time.Time {
		version++
		s.updateTargets(feed.Change{Rows: []table.Row{{Key: "t", Version: version}}})
		return s.capacity(policy.Service{Name: "s"}, peer.Target{ID: "t", Service: "s", Zone: "a"}).Cold.Until
	}
	first := now.Add(3 * time.Second)
	if got := until(); !got.Equal(first) {
		t.Errorf("cold until %v, want %v", got, first)
	}
	now = now.Add(time.Second)
	if got := until(); !got.Equal(first) {
		t.Errorf("same row read again: cold until %v, want %v", got, first)
	}
	rows.left = 2 * time.Second
	if got := until(); !got.Equal(now.Add(rows.left)) {
		t.Errorf("row with a new cold time: cold until %v, want %v", got, now.Add(rows.left))
	}
	now = now.Add(time.Second)
	rows.incarnation++
	if got := until(); !got.Equal(now.Add(rows.left)) {
		t.Errorf("restart with the same cold time: cold until %v, want %v", got, now.Add(rows.left))
	}
	rows.left = 0
	s.zones.set([]ident.Zone{"a"}, table.Position{Version: 1})
	now = now.Add(time.Minute)
	s.zones.set(nil, table.Position{Version: 2})
	if got := until(); !got.Equal(now.Add(3 * time.Second)) {
		t.Errorf("zone reopened: cold until %v, want %v", got, now.Add(3*time.Second))
	}
	got := s.capacity(policy.Service{Name: "s"}, peer.Target{ID: "t", Service: "other", Zone: "a"}).Cold
	if diff := cmp.Diff(place.Cold{}, got); diff != "" {
		t.Errorf("service without a cold rate: %s", diff)
	}
}
