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

// cutLong breaks off an answer that is too long to be kept whole.
func cutLong(w *bufio.Writer, r *http.Request) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Id"), 2*wholeAnswer)
	_, _ = w.WriteString(strings.Repeat("x", wholeAnswer+1))
	return false
}

// placing has a router give the placements of a setup with one target, and returns the
// homes that count them, and what runs put-off work.
func placing(t *testing.T, s *setup) (*home.Homes, func()) {
	t.Helper()
	const pool, self = "s@co", "edge"
	to := s.finder.targets[0]
	roster := place.NewRoster(1, []place.Engine{{
		ID: to.ID, Hash: to.ID.Hash(), Addr: to.Addr, Zone: to.Zone, Incarnation: max(to.Incarnation, 1),
	}})
	homes := home.New(self, home.DefaultLimits, time.Now, func(ident.Workspace) (policy.Workspace, bool) { return policy.Workspace{}, false })
	homes.SetPool(pool, place.DefaultBound, roster)
	remote, closeLinks := home.NewRemote(home.Edge{ID: self}, homes, nil, time.Second)
	t.Cleanup(closeLinks)
	var mu sync.Mutex
	var later []func()
	putOff := func(_ time.Duration, run func()) {
		mu.Lock()
		defer mu.Unlock()
		later = append(later, run)
	}
	router := route.New(route.Self{ID: self, Region: "co", AfterFunc: putOff}, remote, time.Now)
	router.Set([]route.Pool{{
		Name: pool, Region: "co", Roster: roster,
		Service: policy.Service{Name: "s", Balance: policy.Exact, Shards: 1, Bound: 1.25}, Bound: place.BoundOf(1.25),
	}}, place.Assign([]place.ShardID{{Pool: pool}}, []ident.Router{self}))
	s.finder.acquire = router.Acquire
	return homes, func() {
		mu.Lock()
		defer mu.Unlock()
		for _, run := range later {
			run()
		}
	}
}

// An answer that is cut off ends its request like any other: the place at the target is
// given back, and the target's failure is noted.
func TestLongAnswerCutOffGivesItsPlaceBack(t *testing.T) {
	s := newSetup(t, aRoute(nil), newTarget(t, cutLong))
	homes, run := placing(t, s)
	answer, _ := s.call(t, "GET", "/", "")
	if !answer.Cut || answer.Status != 200 {
		t.Errorf("status %d, cut off: %v", answer.Status, answer.Cut)
	}
	run()
	if permits, _ := homes.InFlight(); permits != 0 {
		t.Errorf("%d permits are still held", permits)
	}
	s.finder.mu.Lock()
	defer s.finder.mu.Unlock()
	if diff := cmp.Diff([]string{"ok false"}, s.finder.reports); diff != "" {
		t.Error(diff)
	}
	s.ends.mu.Lock()
	defer s.ends.mu.Unlock()
	if diff := cmp.Diff([]Reason{CutOff}, s.ends.list); diff != "" {
		t.Error(diff)
	}
}
