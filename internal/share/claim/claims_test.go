package claim_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"valescale/internal/fake/sched"
	"valescale/internal/fake/store"
	"valescale/internal/plat/fault"
	"valescale/internal/share/claim"
)

// objects stores large answers in memory.
type objects struct {
	mu   sync.Mutex
	data map[string][]byte
}

func (o *objects) Put(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[name] = data
	return nil
}

func (o *objects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.data[name], nil
}

type fixture struct {
	store   *store.Store
	objects *objects
	stops   []func(context.Context)
}

func newFixture() *fixture {
	return &fixture{store: store.New(), objects: &objects{data: map[string][]byte{}}}
}

// router returns the claims of an additional router.
func (f *fixture) router() *claim.Claims {
	c, _ := f.newRouter()
	return c
}

func (f *fixture) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, stop := range f.stops {
		stop(ctx)
	}
}

var (
	key  = claim.Key{Workspace: "petalwise", Name: "order-1"}
	hash = claim.HashBody("POST", "/orders", []byte("roses"))
)

func begin(c *claim.Claims, wait time.Duration) (*claim.Ticket, *claim.Answer, claim.Kind) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	ticket, answer, err := c.Begin(ctx, key, hash)
	return ticket, answer, fault.KindOf[claim.Kind](err)
}

// run executes a test in a synctest bubble with a fake clock.
func run(t *testing.T, test func(*testing.T, *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		defer f.close()
		test(t, f)
	})
}

func TestBeginAfterLostCommitResponse(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		f.store.LoseResponses(1)
		ticket, _, kind := begin(f.router(), time.Second)
		if ticket == nil || kind != "" {
			t.Fatalf("got kind %q, want a ticket", kind)
		}
	})
}

func TestConcurrentBeginYieldsOneTicket(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		var tickets, running int
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range 8 {
			c := f.router()
			wg.Go(func() {
				ticket, _, kind := begin(c, time.Second)
				mu.Lock()
				defer mu.Unlock()
				if ticket != nil {
					tickets++
				} else if kind == claim.Running {
					running++
				}
			})
		}
		wg.Wait()
		if tickets != 1 || running != 7 {
			t.Errorf("got %d tickets and %d errors of kind running, want 1 and 7", tickets, running)
		}
	})
}

func TestBeginWaitsForRunningRequest(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		first, second := f.router(), f.router()
		ticket, _, _ := begin(first, time.Second)
		time.AfterFunc(500*time.Millisecond, func() { first.Finish(ticket, claim.Answer{Status: 201, Body: []byte("ok")}) })
		_, answer, kind := begin(second, 5*time.Second)
		want := &claim.Answer{Status: 201, Body: []byte("ok")}
		if diff := cmp.Diff(want, answer); diff != "" || kind != "" {
			t.Errorf("kind %q: %s", kind, diff)
		}
	})
}

func TestBeginWhileStoreIsDown(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		c := f.router()
		f.store.SetDown(true)
		if ticket, _, kind := begin(c, 2*time.Second); ticket != nil || kind != claim.Unavailable {
			t.Errorf("got ticket %v and kind %q, want none and %q", ticket, kind, claim.Unavailable)
		}
		time.AfterFunc(time.Second, func() { f.store.SetDown(false) })
		if ticket, _, kind := begin(c, 3*time.Second); ticket == nil {
			t.Errorf("got kind %q after the store recovered, want a ticket", kind)
		}
	})
}

// Guards against a key that stays blocked forever: the claim was written but its response was lost,
// so its router never sends under it.
func TestAbandonedClaimIsReleased(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		c := f.router()
		f.store.LoseResponses(1)
		f.store.DownAfterCommits(1)
		if _, _, kind := begin(c, time.Second); kind != claim.Unavailable {
			t.Fatalf("got kind %q, want %q", kind, claim.Unavailable)
		}
		f.store.SetDown(false)
		if ticket, _, kind := begin(f.router(), 5*time.Second); ticket == nil {
			t.Errorf("got kind %q, want a ticket", kind)
		}
	})
}

func TestReleasedClaimCanBeRetaken(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		first := f.router()
		ticket, _, _ := begin(first, time.Second)
		first.Release(ticket)
		again, _, kind := begin(f.router(), 5*time.Second)
		if again == nil || again.Version <= ticket.Version {
			t.Fatalf("got kind %q and ticket %+v, want one with a later version than %d", kind, again, ticket.Version)
		}
		// A late outcome of the first holder must not overwrite the second holder's claim.
		first.Finish(ticket, claim.Answer{Status: 500})
		if _, _, kind := begin(f.router(), time.Second); kind != claim.Running {
			t.Errorf("got kind %q, want %q", kind, claim.Running)
		}
	})
}

func TestAnswersAreReplayedByteForByte(t *testing.T) {
	bodies := map[string]string{"small": "\x00\xffsmall", "large": strings.Repeat("x", claim.DefaultOptions.MaxInlineBytes+1)}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, f *fixture) {
				c := f.router()
				ticket, _, _ := begin(c, time.Second)
				f.store.LoseResponses(1)
				c.Finish(ticket, claim.Answer{Status: 200, Body: []byte(body)})
				_, answer, _ := begin(f.router(), 5*time.Second)
				if answer == nil {
					t.Fatal("got no answer")
				}
				if diff := cmp.Diff(body, string(answer.Body)); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestDifferentBodyIsRejected(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		c := f.router()
		begin(c, time.Second)
		_, _, err := c.Begin(context.Background(), key, claim.HashBody("POST", "/orders", []byte("tulips")))
		if kind := fault.KindOf[claim.Kind](err); kind != claim.Mismatch {
			t.Errorf("got kind %q, want %q", kind, claim.Mismatch)
		}
	})
}

// Concurrent claims share transactions, and a single taken key does not block the others.
func TestClaimsShareTransactions(t *testing.T) {
	run(t, func(t *testing.T, f *fixture) {
		c := f.router()
		begin(c, time.Second)
		before, _ := f.store.Writes()
		const many = 30
		var wg sync.WaitGroup
		for i := range many {
			wg.Go(func() {
				k := claim.Key{Workspace: "petalwise", Name: "order-" + strconv.Itoa(i+2)}
				if ticket, _, err := c.Begin(context.Background(), k, hash); ticket == nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		after, _ := f.store.Writes()
		if after-before > many/10 {
			t.Errorf("%d claims took %d transactions", many, after-before)
		}
	})
}

// TestSchedules runs random sequences of the actions in spec/claim.pml against the implementation:
// begin, send, finish, release and crash, with store failures in between. A router may be paused
// between any two actions for any time.
func TestSchedules(t *testing.T) {
	sched.Walk(t, func(r *rapid.T) {
		synctest.Test(t, func(*testing.T) { walk(r) })
	})
}

// walk runs one schedule: several routers, each with one request for the same key.
func walk(r *rapid.T) {
	f := newFixture()
	defer f.close()
	type holder struct {
		claims *claim.Claims
		ticket *claim.Ticket
		sent   bool
	}
	var holders []*holder
	runs := 0
	for range rapid.IntRange(2, 12).Draw(r, "steps") {
		switch rapid.IntRange(0, 6).Draw(r, "action") {
		case 0, 1:
			h := &holder{claims: f.router()}
			h.ticket, _, _ = begin(h.claims, time.Second)
			if h.ticket != nil {
				holders = append(holders, h)
			}
		case 2:
			if h := pick(r, holders); h != nil && !h.sent {
				h.sent = true
				runs++
			}
		case 3:
			if h := pick(r, holders); h != nil && h.sent {
				h.claims.Finish(h.ticket, claim.Answer{Status: 200})
			}
		case 4:
			// Only a holder that has sent nothing, and never will, releases its claim.
			if h := pick(r, holders); h != nil && !h.sent {
				h.sent = true
				h.claims.Release(h.ticket)
			}
		case 5:
			f.store.LoseResponses(rapid.IntRange(0, 3).Draw(r, "lost"))
		case 6:
			f.store.SetDown(rapid.Bool().Draw(r, "down"))
			<-time.After(time.Duration(rapid.IntRange(0, 2000).Draw(r, "ms")) * time.Millisecond)
		}
		if runs > 1 {
			r.Fatalf("the request ran %d times", runs)
		}
	}
	f.store.SetDown(false)
}

func pick[T any](r *rapid.T, list []*T) *T {
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(r, "which")]
}

func TestMain(m *testing.M) { sched.Main(m) }
