package home

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/origin"
	"valescale/internal/share/peerpb"
)

// resumedShard is the shard of the homes of newResumedHomes.
var resumedShard = place.ShardID{Pool: "p"}

// newResumedHomes returns homes with an engine of one slot of each version, and a clock that stands still.
func newResumedHomes(versions ...ident.Version) *Homes {
	now := time.Unix(1000, 0)
	h := New("home", DefaultLimits, func() time.Time { return now }, func(ident.Workspace) (policy.Workspace, bool) { return policy.Workspace{}, false })
	h.SetPool("p", place.DefaultBound, versionedRoster(versions...))
	return h
}

// versionedRoster returns a roster with an engine of one slot of each version.
func versionedRoster(versions ...ident.Version) *place.Roster {
	var engines []place.Engine
	for _, version := range versions {
		engines = append(engines, place.Engine{
			ID: ident.Target(version), Hash: ident.Target(version).Hash(), Incarnation: 1, Slots: ident.OneRequest, Version: version,
		})
	}
	return place.NewRoster(1, engines)
}

// waitingRequest returns a request that may wait, for engines of a version.
func waitingRequest(permit uint64, version ident.Version) PermitRequest {
	return PermitRequest{
		Request: place.Request{Edge: "edge", Permit: permit, Key: ident.ChatKey(permit), Work: ident.OneRequest, MustPlace: true, Version: version},
		Shard:   resumedShard, Workspace: "w", Weight: 1, Wait: time.Second,
	}
}

// occupy takes the slot of each engine, and the one more that a request gets which has waited in vain.
func occupy(h *Homes, versions ...ident.Version) (permits []uint64) {
	for i, version := range versions {
		for _, over := range []bool{false, true} {
			req := waitingRequest(uint64(1000+2*i), version)
			if over {
				req.Permit++
			}
			req.Wait, req.Over = 0, over
			h.placeOrQueue(req, nil)
			permits = append(permits, req.Permit)
		}
	}
	return permits
}

// Guards against permits of resumed streams that no longer wait, which nobody would release.
func TestResumedStreamThatLeftGetsNoPermit(t *testing.T) {
	for _, c := range []struct {
		name       string
		callerGone bool
		// placed means that the permit was granted just before.
		placed bool
		want   Result
	}{
		{"the caller leaves", true, false, TimedOut},
		{"the wait ends", false, false, TimedOut},
		{"the caller leaves as the permit is granted", true, true, Placed},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newResumedHomes("v1")
			taken := occupy(h, "v1")
			_, w := h.placeOrQueue(waitingRequest(1, "v1"), nil)
			if w == nil {
				t.Fatal("the request does not wait")
			}
			if c.placed {
				h.Release(resumedShard, "edge", taken)
			}
			got := h.abandon(w, c.callerGone)
			if diff := cmp.Diff(c.want, got.Result); diff != "" {
				t.Error(diff)
			}
			h.Release(resumedShard, "edge", taken)
			permits, waiting := h.InFlight()
			if diff := cmp.Diff([]int{0, 0}, []int{permits, waiting}); diff != "" {
				t.Errorf("permits and waiting requests: %s", diff)
			}
		})
	}
}

// Guards against resumed streams that wait for ever, because their shard was removed at a home that is no
// longer the one of the shard.
func TestShardWithResumedStreamsIsKept(t *testing.T) {
	h := newResumedHomes("v1")
	s := h.getOrCreate(resumedShard)
	for _, resumed := range []int{1, 0} {
		s.movedTo = "other"
		s.resumed = make([]*queuedRequest, resumed)
		h.PendingTransfers(func(place.ShardID) ident.Router { return "other" })
		_, kept := h.shards[resumedShard]
		if diff := cmp.Diff(resumed > 0, kept); diff != "" {
			t.Errorf("%d resumed streams: %s", resumed, diff)
		}
	}
}

// Guards against resumed streams beyond number, each of which is tried at each release.
func TestResumedStreamsAreLimited(t *testing.T) {
	h := newResumedHomes("v1")
	occupy(h, "v1")
	for i := range uint64(maxResumed) {
		if got, w := h.placeOrQueue(waitingRequest(1+i, "v1"), nil); w == nil {
			t.Fatalf("request %d: %+v, want it to wait", i, got)
		}
	}
	got, w := h.placeOrQueue(waitingRequest(maxResumed+1, "v1"), nil)
	if w != nil || got.Result != Shed || got.RetryAfter <= 0 {
		t.Errorf("%+v, want shed with a Retry-After delay", got)
	}
	if _, waiting := h.InFlight(); waiting != maxResumed {
		t.Errorf("%d requests wait, want %d", waiting, maxResumed)
	}
}

// Guards against resumed streams that wait in vain once the last engine of the shard is gone.
func TestResumedStreamIsAnsweredWithoutEngines(t *testing.T) {
	h := newResumedHomes("v1")
	occupy(h, "v1")
	_, w := h.placeOrQueue(waitingRequest(1, "v1"), nil)
	h.SetPool("p", place.DefaultBound, versionedRoster())
	select {
	case got := <-w.response:
		if diff := cmp.Diff(Empty, got.Result); diff != "" {
			t.Error(diff)
		}
	default:
		t.Error("the request still waits")
	}
}

// Guards against resumed streams that wait although an engine of their version has room, because others queue.
func TestResumedStreamIsPlacedBesideTheQueue(t *testing.T) {
	h := newResumedHomes("v1", "v2")
	occupy(h, "v1")
	queued := waitingRequest(1, "")
	queued.Avoid = []ident.TargetHash{ident.Target("v2").Hash()}
	if got, w := h.placeOrQueue(queued, nil); w == nil {
		t.Fatalf("%+v, want the request to queue", got)
	}
	got, w := h.placeOrQueue(waitingRequest(2, "v2"), nil)
	if w != nil || got.Result != Placed || got.Engine != ident.Target("v2").Hash() {
		t.Errorf("%+v, want a permit for the engine of the version", got)
	}
}

// Guards against versions and origins that are lost between routers.
func TestVersionRoundTrip(t *testing.T) {
	request := PermitRequest{Request: place.Request{Work: ident.OneRequest, Version: "v1"}}
	if diff := cmp.Diff(request, decodePermitRequest(encodePermitRequest(request, nil, 0)), cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
	records := []origin.Record{{Key: 7, Origin: origin.Origin{Service: "s", Version: "v1"}}, {Key: 8, Origin: origin.Origin{Service: "t", Version: "v2"}}}
	if diff := cmp.Diff(records, decodeOrigins(encodeOrigins(records))); diff != "" {
		t.Error(diff)
	}
	for _, answer := range []origin.Answer{
		{}, {Several: true}, {Origin: records[0].Origin, Known: true}, {Origin: records[0].Origin, Known: true, Several: true},
		{Complete: true}, {Archived: true}, {Origin: records[0].Origin, Known: true, Expected: true},
	} {
		if diff := cmp.Diff(answer, decodeAnswer(encodeAnswer(7, answer))); diff != "" {
			t.Error(diff)
		}
	}
}

// Guards against a router of an earlier release that takes the version at which a stream was only expected to begin for its
// origin.
func TestExpectedOriginIsNoneToEarlierReleases(t *testing.T) {
	reply := encodeAnswer(7, origin.Answer{Origin: origin.Origin{Service: "s", Version: "v1"}, Known: true, Expected: true})
	if reply.GetOrigin() != nil {
		t.Errorf("origin %v, want none", reply.GetOrigin())
	}
}

// Guards against a router without origins that fails when a peer sends it some or asks for one.
func TestServerWithoutOrigins(t *testing.T) {
	server := NewServer(newResumedHomes("v1"), nil, nil)
	_, err := server.FindOrigin(t.Context(), connect.NewRequest(&peerpb.FindOriginRequest{Key: 7, Service: "s"}))
	if diff := cmp.Diff(connect.CodeUnimplemented, connect.CodeOf(err)); diff != "" {
		t.Error(diff)
	}
	s := &session{server: server, edge: "edge"}
	s.handle(nil, &peerpb.LinkRequest{Origins: encodeOrigins([]origin.Record{{Key: 7}})})
}
