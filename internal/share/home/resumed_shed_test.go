package home

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
)

// Guards against a resumed stream that makes room for one of another workspace and gets no answer, or that is
// placed later although it was answered.
func TestResumedStreamThatMakesRoomIsAnswered(t *testing.T) {
	h := newResumedHomes("v1")
	taken := occupy(h, "v1")
	var last *queuedRequest
	for i := range uint64(maxResumed) {
		_, last = h.placeOrQueue(waitingRequest(1+i, "v1"), nil)
	}
	other := waitingRequest(maxResumed+1, "v1")
	other.Workspace = "other"
	if got, w := h.placeOrQueue(other, nil); w == nil {
		t.Fatalf("%+v, want the request of the other workspace to wait", got)
	}
	select {
	case got := <-last.response:
		if got.Result != Shed || got.RetryAfter <= 0 {
			t.Errorf("%+v, want shed with a Retry-After delay", got)
		}
	default:
		t.Error("the latest request of the first workspace has no answer")
	}
	if _, waiting := h.InFlight(); waiting != maxResumed {
		t.Errorf("%d requests wait, want %d", waiting, maxResumed)
	}
	h.Release(resumedShard, "edge", taken)
	if len(last.response) != 0 {
		t.Error("the request that was answered was placed as well")
	}
}

// Guards against requests that wait for the load bound although they may not wait, another shard may have room,
// or any engine can run them.
func TestOnlyResumedStreamsWaitForTheBound(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*PermitRequest)
		want   bool
	}{
		{"resumed", func(*PermitRequest) {}, true},
		{"any version", func(r *PermitRequest) { r.Version = "" }, false},
		{"another shard is left", func(r *PermitRequest) { r.MustPlace = false }, false},
		{"no wait", func(r *PermitRequest) { r.Wait = 0 }, false},
	} {
		req := waitingRequest(1, ident.Version("v1"))
		c.change(&req)
		if diff := cmp.Diff(c.want, req.waitsForBound()); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}
