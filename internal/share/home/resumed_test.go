package home_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/home"
)

// newVersionedHomes returns homes with an engine of one slot of each version.
func newVersionedHomes(versions ...ident.Version) *home.Homes {
	h := home.New("router-a", home.DefaultLimits, time.Now, func(ident.Workspace) (policy.Workspace, bool) { return policy.Workspace{}, false })
	var engines []place.Engine
	for _, version := range versions {
		name := ident.Target("engine-" + version)
		engines = append(engines, place.Engine{ID: name, Hash: name.Hash(), Incarnation: 1, Slots: ident.OneRequest, Version: version})
	}
	bound := place.DefaultBound
	bound.Extra = 10 * ident.OneRequest
	h.SetPool(pool, bound, place.NewRoster(1, engines))
	return h
}

// permitRequest returns a request that may wait, for engines of a version; an empty version stands for all.
func permitRequest(permit uint64, version ident.Version, wait time.Duration) home.PermitRequest {
	return home.PermitRequest{
		Request: place.Request{Edge: "edge", Permit: permit, Key: ident.ChatKey(permit), Work: ident.OneRequest, MustPlace: true, Version: version},
		Shard:   id, Workspace: "w", Weight: 1, Wait: wait,
	}
}

// placeLater sends a request that waits and returns the channel of its response.
func placeLater(t *testing.T, h *home.Homes, req home.PermitRequest) <-chan home.PermitResponse {
	t.Helper()
	_, before := h.InFlight()
	out := make(chan home.PermitResponse, 1)
	go func() { out <- h.Place(context.Background(), req, nil) }()
	for waiting := before; waiting == before; _, waiting = h.InFlight() {
		<-time.After(time.Millisecond)
	}
	return out
}

// Guards against a resumed stream that holds back other requests while the engines of its version are full,
// and that is not placed once one of them has room.
func TestResumedStreamsWaitBesideTheQueue(t *testing.T) {
	h := newVersionedHomes("v1", "v2")
	const wait = 10 * time.Second
	h.Place(context.Background(), permitRequest(1, "v1", 0), nil)
	h.Place(context.Background(), permitRequest(2, "v2", 0), nil)
	resumed := placeLater(t, h, permitRequest(3, "v1", wait))
	queued := placeLater(t, h, permitRequest(4, "", wait))
	h.Release(id, "edge", []uint64{2})
	got := <-queued
	if diff := cmp.Diff(ident.Target("engine-v2").Hash(), got.Engine); diff != "" {
		t.Errorf("the queued request: %s", diff)
	}
	h.Release(id, "edge", []uint64{1})
	got = <-resumed
	if diff := cmp.Diff(ident.Target("engine-v1").Hash(), got.Engine); diff != "" {
		t.Errorf("the resumed stream: %s", diff)
	}
}

// Guards against resumed streams that never get a slot because queued requests take each one that is released.
func TestResumedStreamsGoBeforeQueuedRequests(t *testing.T) {
	h := newVersionedHomes("v1")
	const wait = 10 * time.Second
	h.Place(context.Background(), permitRequest(1, "", 0), nil)
	queued := placeLater(t, h, permitRequest(2, "", wait))
	resumed := placeLater(t, h, permitRequest(3, "v1", wait))
	h.Release(id, "edge", []uint64{1})
	if got := <-resumed; got.Result != home.Placed {
		t.Errorf("the resumed stream: result %d, want a permit", got.Result)
	}
	h.Release(id, "edge", []uint64{3})
	if got := <-queued; got.Result != home.Placed {
		t.Errorf("the queued request: result %d, want a permit", got.Result)
	}
}

// Guards against a resumed stream that waits for longer than it may, or at a home that is no longer the one of
// its shard.
func TestResumedStreamsStopWaiting(t *testing.T) {
	h := newVersionedHomes("v1")
	h.Place(context.Background(), permitRequest(1, "", 0), nil)
	// A request that has waited in vain may use one more slot.
	over := permitRequest(9, "", 0)
	over.Over = true
	h.Place(context.Background(), over, nil)
	if got := h.Place(context.Background(), permitRequest(2, "v1", time.Millisecond), nil); got.Result != home.TimedOut {
		t.Errorf("result %d, want timed out", got.Result)
	}
	moved := placeLater(t, h, permitRequest(3, "v1", 10*time.Second))
	h.Moved(id, "router-b")
	if got := <-moved; got.Result != home.Moved {
		t.Errorf("result %d, want moved", got.Result)
	}
	if _, waiting := h.InFlight(); waiting != 0 {
		t.Errorf("%d requests wait, want none", waiting)
	}
}

// Guards against a resumed stream that is rejected at once, though it may wait, because the few engines of its
// version are at the load bound. Only these can run it, so that other homes do not help its caller.
func TestResumedStreamsWaitForTheLoadBound(t *testing.T) {
	h := newHomesAtBound(t, "v1", "v2", "v2", "v2")
	first := make(chan home.PermitResponse, 1)
	go func() { first <- h.Place(context.Background(), permitRequest(100, "v1", 10*time.Second), nil) }()
	for waiting := 0; waiting == 0; _, waiting = h.InFlight() {
		select {
		case got := <-first:
			t.Fatalf("result %d before the wait was over, want a request that waits", got.Result)
		case <-time.After(time.Millisecond):
		}
	}
	h.Release(id, "edge", []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
	if got := <-first; got.Result != home.Placed {
		t.Errorf("result %d, want a permit", got.Result)
	}
}

// newHomesAtBound returns homes with an engine of unlimited slots for each version, where the engines of the
// first version are at the load bound. The permits have numbers from 1.
func newHomesAtBound(t *testing.T, versions ...ident.Version) *home.Homes {
	t.Helper()
	h := home.New("router-a", home.DefaultLimits, time.Now, func(ident.Workspace) (policy.Workspace, bool) { return policy.Workspace{}, false })
	var engines []place.Engine
	for i, version := range versions {
		name := ident.Target(fmt.Sprint("engine-", i))
		engines = append(engines, place.Engine{ID: name, Hash: name.Hash(), Incarnation: 1, Version: version})
	}
	h.SetPool(pool, place.DefaultBound, place.NewRoster(1, engines))
	for permit := range uint64(len(versions)) {
		h.Place(context.Background(), permitRequest(permit+1, "", 0), nil)
	}
	for permit := uint64(len(versions)) + 1; h.Place(context.Background(), permitRequest(permit, versions[0], 0), nil).Result == home.Placed; permit++ {
	}
	return h
}

// Guards against resumed streams of one workspace that leave no room for those of others to wait.
func TestResumedStreamsOfOneWorkspaceLeaveRoomForOthers(t *testing.T) {
	h := newVersionedHomes("v1")
	const wait = 10 * time.Second
	h.Place(context.Background(), permitRequest(1, "", 0), nil)
	const many = 64
	for permit := range uint64(many) {
		placeLater(t, h, permitRequest(permit+2, "v1", wait))
	}
	other := permitRequest(many+2, "v1", wait)
	other.Workspace = "other"
	got := make(chan home.PermitResponse, 1)
	go func() { got <- h.Place(context.Background(), other, nil) }()
	select {
	case resp := <-got:
		t.Errorf("result %d, want a request that waits", resp.Result)
	case <-time.After(100 * time.Millisecond):
	}
}
