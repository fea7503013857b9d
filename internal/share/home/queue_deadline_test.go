package home

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
)

// A request that would expire in the queue is rejected at once, with a Retry-After delay that
// covers the queue. A request of higher priority is queued, and so is any request while the release
// rate is not known.
func TestRequestsThatWouldExpireAreRejectedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	h := New("home", DefaultLimits, func() time.Time { return now }, func(ident.Workspace) (policy.Workspace, bool) { return policy.Workspace{}, false })
	engine := place.Engine{ID: "e", Hash: ident.Target("e").Hash(), Incarnation: 1, Slots: ident.OneRequest}
	h.SetPool("p", place.DefaultBound, place.NewRoster(1, []place.Engine{engine}))
	id := place.ShardID{Pool: "p"}
	permit := uint64(0)
	request := func(priority int) (PermitResponse, bool) {
		permit++
		a, w := h.placeOrQueue(PermitRequest{
			Request: place.Request{Edge: "edge", Permit: permit, Key: ident.ChatKey(permit), Work: ident.OneRequest, MustPlace: true},
			Shard:   id, Priority: priority, Wait: 400 * time.Millisecond,
		}, nil)
		return a, w != nil
	}
	request(0)
	for range 20 {
		if a, queued := request(0); !queued {
			t.Fatalf("request not queued while the release rate is unknown: %+v", a)
		}
	}
	s := h.shards[id]
	recordSteadyReleases(&s.rate, now, 10, ident.OneRequest)
	a, queued := request(0)
	if !withinTenth(a.RetryAfter, 2100*time.Millisecond) {
		t.Errorf("20 queued at 10 releases per second: Retry-After delay %v, want 2.1 s", a.RetryAfter)
	}
	a.RetryAfter = 0
	if diff := cmp.Diff(PermitResponse{Result: Shed, Held: 1, Work: ident.OneRequest}, a); diff != "" || queued {
		t.Errorf("20 queued at 10 releases per second: queued %v: %s", queued, diff)
	}
	if a, queued := request(1); !queued {
		t.Errorf("request of higher priority not queued: %+v", a)
	}
}
