package fleet_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/guard"
	"valescale/internal/fake/fleet"
	"valescale/internal/plat/table"
	"valescale/internal/rule/retry"
)

// Seen: on the users' platform a request that ends each engine which runs it ended dozens of them, since
// no router knew it again when it came anew (platform, TestRequestThatEndsTargets). The product's own
// interface forgets requests in the same way: each try of a chat costs as many engines as it has attempts.
func TestChatThatEndsEngines(t *testing.T) {
	const engines, mayEnd = 24, 5
	b := start(t, fleet.Options{Routers: 3, Engines: engines, Fatal: "fatal"})
	for i := range 60 {
		question := fmt.Sprint("question ", i)
		if r := b.caller.Chat(b.ctx, b.Routers[i%3].CallerAddr(), fmt.Sprint(i), question, words, false); !r.Right(question, words) {
			t.Fatalf("question %d got %+v", i, r)
		}
	}
	ask := func(i int) fleet.Result {
		return b.caller.Chat(b.ctx, b.Routers[i%3].CallerAddr(), "c", "fatal", words, i%2 == 0)
	}
	want := fleet.Result{Status: http.StatusServiceUnavailable, Outcome: retry.NotRun, Code: "ends_targets"}
	refused := func(i int) bool {
		got := ask(i)
		got.Text, got.Whole, got.Err = "", false, nil
		return cmp.Equal(want, got)
	}
	// Streams and whole answers differ in their bodies, so that these are two requests at three routers.
	b.until(t, "all routers refuse both", func() bool {
		all := true
		for i := range 6 {
			all = refused(i) && all
		}
		return all
	})
	ended := func() int {
		count := 0
		for _, e := range b.Engines {
			if e.Crashed() {
				count++
			}
		}
		return count
	}
	before := ended()
	if before > 2*mayEnd {
		t.Errorf("%d of %d engines ended under two requests, at most %d may", before, engines, 2*mayEnd)
	}
	for i := range 12 {
		if !refused(i) {
			t.Errorf("router %d sent the request on once more", i%3)
		}
	}
	if got := ended() - before; got != 0 {
		t.Errorf("%d more engines ended once all routers refused the requests", got)
	}
	question := "harmless"
	if r := b.caller.Chat(b.ctx, b.Routers[0].CallerAddr(), "h", question, words, true); !r.Right(question, words) {
		t.Errorf("a harmless chat got %+v", r)
	}
}

// What is held back outlasts the routers that lost engines to it: it is in the store.
func TestChatThatEndsEnginesIsKnownAfterAStart(t *testing.T) {
	b := start(t, fleet.Options{Routers: 1, Engines: 8, Fatal: "fatal"})
	ask := func(r *fleet.Router) fleet.Result {
		return b.caller.Chat(b.ctx, r.CallerAddr(), "c", "fatal", words, false)
	}
	b.until(t, "the router refuses the chat", func() bool { return ask(b.Routers[0]).Code == "ends_targets" })
	b.until(t, "the store has it", func() bool {
		rows, err := b.Store.Scan(b.ctx, table.Range{Table: guard.Table, Limit: 10})
		return err == nil && len(rows) == 1
	})
	b.Routers[0].Kill()
	next, err := b.AddRouter(1)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.AwaitReady(b.ctx, 1); err != nil {
		t.Fatal(err)
	}
	b.until(t, "the next router has read it", func() bool { return strings.Contains(metrics(t, next), "valescale_held_requests 1") })
	if got := ask(next); got.Code != "ends_targets" || got.Outcome != retry.NotRun {
		t.Errorf("the next router answers %+v", got)
	}
}

// metrics reads a router's metrics.
func metrics(t *testing.T, r *fleet.Router) string {
	t.Helper()
	resp, err := http.Get("http://" + r.AdminAddr() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}
