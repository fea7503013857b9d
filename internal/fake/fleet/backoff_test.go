package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"valescale/internal/fake/fleet"
)

// turnedAway is the configuration of a fleet whose engines say with 503 that they did not run a request.
func turnedAway() string {
	return strings.Replace(text(), "echo = true", "echo = true\nnot_run_status = 503", 1)
}

// Seen: on the users' platform targets that asked for backoff got requests all the same (platform,
// TestTargetThatAsksForBackoff). The product's own interface reads answers in another place, and read no more
// there: an engine that turns requests away gets one after the other, since it is always the least loaded.
func TestEngineThatAsksForBackoff(t *testing.T) {
	const backoff = 2 * time.Second
	b := start(t, fleet.Options{Routers: 1, Engines: 3})
	b.apply(t, "turned-away", turnedAway())
	refusing := b.Engines[0]
	ask := func(what string, count int) {
		for i := range count {
			q := fmt.Sprint(what, i)
			if r := b.caller.Chat(b.ctx, b.Routers[0].CallerAddr(), q, q, words, i%2 == 0); !r.Right(q, words) {
				t.Fatalf("chat %s got %+v", q, r)
			}
		}
	}
	ask("before", 30)
	if refusing.Counts().Served == 0 {
		t.Fatal("the engine got nothing before it was refusing")
	}
	refusing.SetBackoff(backoff)
	ask("during", 30)
	if got := refusing.Counts().Rejected; got != 1 {
		t.Errorf("%d requests reached an engine that asked for %v of backoff, want the one that it turned away", got, backoff)
	}
	refusing.SetBackoff(0)
	<-time.After(backoff)
	before := refusing.Counts().Served
	ask("after", 30)
	if refusing.Counts().Served == before {
		t.Error("the engine got nothing after its backoff")
	}
}
