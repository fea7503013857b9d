package entry

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/home"
)

// truncateLong breaks off an answer that is too long to be buffered.
func truncateLong(w *bufio.Writer, r *http.Request) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Id"), 2*maxBufferedAnswer)
	_, _ = w.WriteString(strings.Repeat("x", maxBufferedAnswer+1))
	return false
}

// useRouter makes a setup with one target use a route.Router for its placements. It returns the
// homes that count the permits, and a function that runs the delayed work.
func useRouter(t *testing.T, s *setup) (*home.Homes, func()) {
	t.Helper()
	const pool, self = "s@co", "edge"
	target := s.finder.targets[0]
	roster := place.NewRoster(1, []place.Engine{{
		ID: target.ID, Hash: target.ID.Hash(), Addr: target.Addr, Zone: target.Zone, Incarnation: max(target.Incarnation, 1),
	}})
	homes := home.New(self, home.DefaultLimits, time.Now, func(ident.Workspace) (policy.Workspace, bool) { return policy.Workspace{}, false })
	homes.SetPool(pool, place.DefaultBound, roster)
	remote, closeLinks := home.NewRemote(home.Edge{ID: self}, homes, nil, time.Second)
	t.Cleanup(closeLinks)
	var mu sync.Mutex
	var delayed []func()
	delay := func(_ time.Duration, run func()) {
		mu.Lock()
		defer mu.Unlock()
		delayed = append(delayed, run)
	}
	router := route.New(route.Self{ID: self, Region: "co", AfterFunc: delay}, remote, time.Now)
	router.Set([]route.Pool{{
		Name: pool, Region: "co", Roster: roster,
		Service: policy.Service{Name: "s", Balance: policy.Exact, Shards: 1, Bound: 1.25}, Bound: place.BoundOf(1.25),
	}}, place.Assign([]place.ShardID{{Pool: pool}}, []ident.Router{self}))
	s.finder.acquire = router.Acquire
	return homes, func() {
		mu.Lock()
		defer mu.Unlock()
		for _, run := range delayed {
			run()
		}
	}
}

// A truncated answer ends its request like any other: the placement is released and the target's
// failure is reported.
func TestTruncatedLongAnswerReleasesPlacement(t *testing.T) {
	s := newSetup(t, newRoute(nil), newFakeTarget(t, truncateLong))
	homes, runDelayed := useRouter(t, s)
	answer, _ := s.call(t, "GET", "/", "")
	if !answer.Truncated || answer.Status != 200 {
		t.Errorf("status %d, truncated: %v", answer.Status, answer.Truncated)
	}
	runDelayed()
	if permits, _ := homes.InFlight(); permits != 0 {
		t.Errorf("%d permits are still held", permits)
	}
	s.finder.mu.Lock()
	defer s.finder.mu.Unlock()
	if diff := cmp.Diff([]string{"ok false"}, s.finder.reports); diff != "" {
		t.Error(diff)
	}
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	if diff := cmp.Diff([]Reason{CutOff}, s.recorder.reasons); diff != "" {
		t.Error(diff)
	}
}
