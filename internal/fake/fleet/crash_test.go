package fleet_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/guard"
	"valescale/internal/fake/fleet"
	"valescale/internal/plat/table"
	"valescale/internal/rule/retry"
)

// A request that crashes every engine which runs it must be quarantined. If routers do not
// recognize it when a caller repeats it, each repetition crashes as many engines as it has
// attempts, dozens in total. This test covers the product's own interface; package platform has one
// for the users' platform.
func TestChatThatCrashesEngines(t *testing.T) {
	const engines, maxCrashes = 24, 5
	b := start(t, fleet.Options{Routers: 3, Engines: engines, Fatal: "fatal"})
	for i := range 60 {
		question := fmt.Sprint("question ", i)
		if r := b.caller.Chat(b.ctx, b.Routers[i%3].CallerAddr(), fmt.Sprint(i), question, words, false); !r.Correct(question, words) {
			t.Fatalf("question %d returned %+v", i, r)
		}
	}
	sendFatal := func(i int) fleet.Result {
		return b.caller.Chat(b.ctx, b.Routers[i%3].CallerAddr(), "c", "fatal", words, i%2 == 0)
	}
	want := fleet.Result{Status: http.StatusServiceUnavailable, Outcome: retry.NotRun, Code: "ends_targets"}
	rejected := func(i int) bool {
		got := sendFatal(i)
		got.Text, got.Complete, got.Err = "", false, nil
		return cmp.Equal(want, got)
	}
	// Requests for a stream and for one JSON body differ in their bodies, so these are two requests
	// at three routers.
	b.waitFor(t, "all routers reject both requests", func() bool {
		bothRejected := true
		for i := range 6 {
			bothRejected = rejected(i) && bothRejected
		}
		return bothRejected
	})
	crashed := func() int {
		count := 0
		for _, e := range b.Engines {
			if e.Crashed() {
				count++
			}
		}
		return count
	}
	before := crashed()
	if before > 2*maxCrashes {
		t.Errorf("%d of %d engines crashed under two requests, want at most %d", before, engines, 2*maxCrashes)
	}
	for i := range 12 {
		if !rejected(i) {
			t.Errorf("router %d forwarded the quarantined request", i%3)
		}
	}
	if got := crashed() - before; got != 0 {
		t.Errorf("%d more engines crashed after all routers rejected the requests", got)
	}
	question := "harmless"
	if r := b.caller.Chat(b.ctx, b.Routers[0].CallerAddr(), "h", question, words, true); !r.Correct(question, words) {
		t.Errorf("a harmless chat returned %+v", r)
	}
}

// Guards against a message that crashes engine after engine in chats that all differ, while requests are
// recognized only as a whole. Chats that share the other messages are served on.
func TestMessageThatCrashesEngines(t *testing.T) {
	const engines, maxCrashes = 24, 8
	b := start(t, fleet.Options{Routers: 3, Engines: engines, Fatal: "fatal"})
	send := func(kind string, i int, earlier ...string) fleet.Result {
		name := fmt.Sprint(kind, " ", i)
		return b.caller.ChatAfter(b.ctx, b.Routers[i%3].CallerAddr(), name, earlier, name, words, i%2 == 0)
	}
	served := func(kind string) int {
		count := 0
		for i := range 30 {
			if send(kind, i, "shared").Complete {
				count++
			}
		}
		return count
	}
	if got := served("before"); got != 30 {
		t.Fatalf("%d of 30 chats were served before", got)
	}
	rejections := 0
	tenPerSecond := time.NewTicker(100 * time.Millisecond)
	defer tenPerSecond.Stop()
	for i := 0; i < 60 && rejections < 9; i++ {
		<-tenPerSecond.C
		if got := send("crashing", i, "shared", "fatal"); got.Code == "ends_targets" && got.Outcome == retry.NotRun {
			rejections++
		} else {
			rejections = 0
		}
	}
	crashed := 0
	for _, e := range b.Engines {
		if e.Crashed() {
			crashed++
		}
	}
	if rejections < 9 || crashed > maxCrashes {
		t.Errorf("%d of %d engines crashed under one message, want at most %d", crashed, engines, maxCrashes)
	}
	if got := served("after"); got != 30 {
		t.Errorf("%d of 30 chats that share another message were served", got)
	}
}

// Quarantined requests are in the store, so that they stay quarantined after the routers whose
// engines crashed have stopped.
func TestQuarantineSurvivesRouterRestart(t *testing.T) {
	b := start(t, fleet.Options{Routers: 1, Engines: 8, Fatal: "fatal"})
	sendFatal := func(r *fleet.Router) fleet.Result {
		return b.caller.Chat(b.ctx, r.CallerAddr(), "c", "fatal", words, false)
	}
	b.waitFor(t, "the router rejects the chat", func() bool { return sendFatal(b.Routers[0]).Code == "ends_targets" })
	b.waitFor(t, "the store contains the quarantined request", func() bool {
		rows, err := b.Store.Scan(b.ctx, table.Range{Table: guard.RequestTable, Limit: 10})
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
	b.waitFor(t, "the next router has read the quarantined request", func() bool { return strings.Contains(metrics(t, next), "valescale_held_requests 1") })
	if got := sendFatal(next); got.Code != "ends_targets" || got.Outcome != retry.NotRun {
		t.Errorf("the next router returned %+v", got)
	}
}

// metrics returns the text of a router's metrics.
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
