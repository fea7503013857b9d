package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"valescale/internal/fake/fleet"
)

// configurationWithNotRunStatus returns a configuration in which the status 503 of an engine means
// that it did not run the request.
func configurationWithNotRunStatus() string {
	return strings.Replace(configurationText(), "echo = true", "echo = true\nnot_run_status = 503", 1)
}

// An engine that rejects requests is always the least loaded one, so it receives one request after
// the other if the Retry-After delay of its responses is ignored. The product's own interface reads
// responses in another place than the users' platform does, which package platform tests
// separately.
func TestEngineBackoff(t *testing.T) {
	const backoff = 2 * time.Second
	b := start(t, fleet.Options{Routers: 1, Engines: 3})
	b.apply(t, "rejecting", configurationWithNotRunStatus())
	rejecting := b.Engines[0]
	sendChats := func(prefix string, count int) {
		for i := range count {
			q := fmt.Sprint(prefix, i)
			if r := b.caller.Chat(b.ctx, b.Routers[0].CallerAddr(), q, q, words, i%2 == 0); !r.Correct(q, words) {
				t.Fatalf("chat %s got %+v", q, r)
			}
		}
	}
	sendChats("before", 30)
	if rejecting.Counts().Served == 0 {
		t.Fatal("the engine received no requests before its backoff")
	}
	rejecting.SetBackoff(backoff)
	sendChats("during", 30)
	if got := rejecting.Counts().Rejected; got != 1 {
		t.Errorf("%d requests reached an engine with a Retry-After delay of %v, want only the one that it rejected", got, backoff)
	}
	rejecting.SetBackoff(0)
	<-time.After(backoff)
	before := rejecting.Counts().Served
	sendChats("after", 30)
	if rejecting.Counts().Served == before {
		t.Error("the engine received no requests after its backoff")
	}
}
