package route_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
)

// Guards against requests that find no target although one may run them: the targets that have failed them
// and those with an open circuit breaker are all targets only together.
func TestFailedAndBlockedTargetsTogether(t *testing.T) {
	_, r, _ := newFleet()
	failed, blocked := ident.Target("engine-1").Hash(), ident.Target("engine-2").Hash()
	for range 20 {
		r.Report(blocked, false)
	}
	p, err := r.Acquire(context.Background(), route.TargetRequest{
		Service: "judge", Key: 1, Work: ident.OneRequest, Avoid: []ident.TargetHash{failed},
	})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(blocked, p.Hash); diff != "" {
		t.Error(diff)
	}
}
