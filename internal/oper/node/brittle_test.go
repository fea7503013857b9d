package node

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/rule/policy"
	"valescale/internal/share/peer"
)

// Guards against requests that wait at targets which fall over for want of room: the targets of a
// service that reports it receive as many requests as they have slots, until none reports it any more.
func TestBrittleTargetsGetNoMoreThanTheirSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newState(nil, log.NewNopLogger(), func() time.Time { return now })
	s.targetRows["t"] = targetRow{target: Target{Slots: 6}}
	service := policy.Service{Name: "s", Kind: policy.PlainTargets}
	slots := func() int { return s.capacity(service, peer.Target{ID: "t", Service: "s"}).Slots }
	got := []int{slots()}
	changed := []bool{s.brittle.report("s"), s.brittle.report("s")}
	got = append(got, slots())
	now = now.Add(brittleTTL)
	changed = append(changed, s.brittle.sweep())
	got = append(got, slots())
	now = now.Add(time.Millisecond)
	changed = append(changed, s.brittle.sweep())
	got = append(got, slots())
	if diff := cmp.Diff([]int{12, 6, 6, 12}, got); diff != "" {
		t.Errorf("slots: %s", diff)
	}
	if diff := cmp.Diff([]bool{true, false, false, true}, changed); diff != "" {
		t.Errorf("changes: %s", diff)
	}
}
