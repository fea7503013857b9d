package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"

	"valescale/internal/fake/fleet"
	"valescale/internal/fake/target"
	"valescale/internal/oper/conf"
	"valescale/internal/plat/engine"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/policy"
	"valescale/internal/rule/retry"
	"valescale/internal/share/peerpb"
)

const configuration = `
[service judge]
kind = engine
echo = true
shards = 2
slots = 8

[service board]
kind = plain

[policy runs]
service = request.path.startsWith("/v1/") ? "judge" : "board"
repeat = request.path == "/orders" ? "never" : "safe"
wait = duration("5s")

[workspace bogota]
policy = runs
token_sha256 = %s

[workspace cali]
policy = runs
token_sha256 = %s
`

func configurationText() string {
	return fmt.Sprintf(configuration, policy.HashToken("bogota"), policy.HashToken("cali"))
}

type fixture struct {
	*fleet.Fleet
	ctx    context.Context
	caller *fleet.Caller
}

// start starts a small fleet and applies its first configuration.
func start(t *testing.T, options fleet.Options) *fixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	if options.Engine.PerWord == 0 {
		options.Engine.PerWord = time.Millisecond
	}
	options.Pace = conf.Pace{Gossip: 50 * time.Millisecond, List: 50 * time.Millisecond, Head: 100 * time.Millisecond, Report: 50 * time.Millisecond}
	f, stop, err := fleet.New(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	b := &fixture{Fleet: f, ctx: ctx, caller: &fleet.Caller{HTTP: http.DefaultClient, Token: "bogota"}}
	b.apply(t, "first", configurationText())
	return b
}

func (b *fixture) apply(t *testing.T, id, configurationText string) ident.Revision {
	t.Helper()
	if err := b.AwaitReady(b.ctx, 0); err != nil {
		t.Fatal(err)
	}
	revision, err := fleet.NewOperator(http.DefaultClient, b.Routers[0].AdminAddr()).Apply(b.ctx, id, configurationText)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.AwaitReady(b.ctx, revision); err != nil {
		t.Fatal(err)
	}
	return revision
}

// waitFor polls a condition and fails the test if it is not met in time.
func (b *fixture) waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-b.ctx.Done():
			t.Fatalf("condition not met before the timeout: %s", description)
		case <-ticker.C:
		}
	}
}

const words = 20

func TestChats(t *testing.T) {
	b := start(t, fleet.Options{Routers: 2, Engines: 3, Plain: 1})
	for i := range 20 {
		question := fmt.Sprintf("question %d", i)
		r := b.caller.Chat(b.ctx, b.Routers[i%2].CallerAddr(), fmt.Sprint(i%4), question, words, i%2 == 0)
		if !r.Correct(question, words) {
			t.Fatalf("question %d returned %+v", i, r)
		}
	}
	warmCount := 0
	for _, e := range b.Engines {
		warmCount += e.Counts().Warm
	}
	if warmCount != 16 {
		t.Errorf("%d of 20 requests in 4 chats found their prefix cached, want 16", warmCount)
	}
}

func TestStreamResumesAtAnotherRouter(t *testing.T) {
	b := start(t, fleet.Options{Routers: 2, Engines: 2})
	first := b.caller.Chat(b.ctx, b.Routers[0].CallerAddr(), "c", "q", words, true)
	events := strings.Split(strings.TrimSpace(first.Text), " ")
	if !first.Correct("q", words) || len(first.IDs) != words {
		t.Fatalf("got %+v", first)
	}
	const received = 7
	rest := b.caller.Resume(b.ctx, b.Routers[1].CallerAddr(), first.IDs[received-1])
	want := strings.Join(events[received:], " ") + " "
	if diff := cmp.Diff(want, rest.Text); diff != "" || !rest.Complete {
		t.Errorf("complete: %v, text differs: %s", rest.Complete, diff)
	}
	other := &fleet.Caller{HTTP: http.DefaultClient, Token: "cali"}
	if r := other.Resume(b.ctx, b.Routers[1].CallerAddr(), first.IDs[0]); r.Status != http.StatusBadRequest {
		t.Errorf("another workspace resumed the stream: %+v", r)
	}
}

func TestEngineLostMidStream(t *testing.T) {
	b := start(t, fleet.Options{Routers: 2, Engines: 2})
	for _, e := range b.Engines {
		// The engine that runs the first attempt closes the stream, and then the other one does.
		e.CutStreams(1, 5)
	}
	r := b.caller.Chat(b.ctx, b.Routers[0].CallerAddr(), "c", "q", words, true)
	if !r.Correct("q", words) {
		t.Errorf("got %+v", r)
	}
}

func TestBrokenStreamReportsError(t *testing.T) {
	b := start(t, fleet.Options{Routers: 1, Engines: 1})
	b.Engines[0].CutStreams(100, 5)
	r := b.caller.Chat(b.ctx, b.Routers[0].CallerAddr(), "c", "q", words, true)
	if r.Complete || r.Outcome != retry.Unknown || r.Code == "" {
		t.Errorf("got %+v, want an error event with the outcome unknown", r)
	}
}

func TestOrdersRunOnce(t *testing.T) {
	b := start(t, fleet.Options{Routers: 3, Engines: 1, Plain: 2})
	b.Store.LoseResponses(5)
	b.Plain[0].LoseResponses(3)
	outcomes := map[string][]retry.Outcome{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range 30 {
		key := fmt.Sprintf("order-%d", i%10)
		addr := b.Routers[i%3].CallerAddr()
		wg.Go(func() {
			r := b.caller.Order(b.ctx, addr, key, "roses")
			mu.Lock()
			defer mu.Unlock()
			outcomes[key] = append(outcomes[key], r.Outcome)
		})
	}
	wg.Wait()
	runs := map[string]int{}
	for _, p := range b.Plain {
		for key, n := range p.Runs() {
			runs[key] += n
		}
	}
	for key, reported := range outcomes {
		if runs[key] != 1 {
			t.Errorf("%s ran %d times; its callers received the outcomes %v", key, runs[key], reported)
		}
	}
}

func TestStoreDown(t *testing.T) {
	b := start(t, fleet.Options{Routers: 2, Engines: 2, Plain: 1})
	b.Store.SetDown(true)
	if r := b.caller.Chat(b.ctx, b.Routers[0].CallerAddr(), "c", "q", words, false); !r.Correct("q", words) {
		t.Errorf("a chat returned %+v", r)
	}
	if r := b.caller.Order(b.ctx, b.Routers[0].CallerAddr(), "order-1", "roses"); r.Outcome != retry.NotRun || r.Status != http.StatusServiceUnavailable {
		t.Errorf("an order returned %+v, want not_run", r)
	}
	if n := b.Plain[0].Runs()["order-1"]; n != 0 {
		t.Errorf("the order ran %d times", n)
	}
	late, err := b.AddRouter(2)
	if err != nil {
		t.Fatal(err)
	}
	b.waitFor(t, "the router started without the store is ready", late.Ready)
	if late.Revision() != b.Routers[0].Revision() {
		t.Errorf("the started router has revision %d in force, the other routers have %d", late.Revision(), b.Routers[0].Revision())
	}
	b.Store.SetDown(false)
	b.waitFor(t, "the order runs once the store is back", func() bool {
		return b.caller.Order(b.ctx, b.Routers[1].CallerAddr(), "order-1", "roses").Outcome == retry.Done
	})
	if n := b.Plain[0].Runs()["order-1"]; n != 1 {
		t.Errorf("the order ran %d times, want once", n)
	}
}

func TestLeavingEngineWithStaleBoxList(t *testing.T) {
	b := start(t, fleet.Options{Routers: 3, Engines: 3})
	// The list of boxes keeps the state live; only the engine itself reports that it is leaving.
	b.Engines[0].Leave()
	b.waitFor(t, "all routers have the engine as leaving", func() bool {
		for _, r := range b.Routers {
			if !r.Leaving(b.Engines[0].ID) {
				return false
			}
		}
		return true
	})
	before := b.Engines[0].Counts().Served
	for i := range 30 {
		q := fmt.Sprint(i)
		if r := b.caller.Chat(b.ctx, b.Routers[i%3].CallerAddr(), q, q, words, true); !r.Correct(q, words) {
			t.Fatalf("got %+v", r)
		}
	}
	if after := b.Engines[0].Counts().Served; after != before {
		t.Errorf("the leaving engine received %d new requests", after-before)
	}
}

// An operator closes an availability zone of a service and opens it again.
func TestClosedZone(t *testing.T) {
	b := start(t, fleet.Options{Routers: 3, Engines: 3})
	sendChats := func(description string) int {
		before := b.Engines[0].Counts().Served
		for i := range 30 {
			q := fmt.Sprint(description, i)
			if r := b.caller.Chat(b.ctx, b.Routers[i%3].CallerAddr(), q, q, words, true); !r.Correct(q, words) {
				t.Fatalf("got %+v", r)
			}
		}
		return b.Engines[0].Counts().Served - before
	}
	closed := "closed_zones = " + string(b.Engines[0].Zone) + "\nslots = 8"
	b.apply(t, "closed", strings.Replace(configurationText(), "slots = 8", closed, 1))
	if got := sendChats("closed"); got != 0 {
		t.Errorf("the engine of the closed zone received %d requests", got)
	}
	b.apply(t, "open", configurationText())
	if got := sendChats("open"); got == 0 {
		t.Error("the engine of the reopened zone received no requests")
	}
}

func TestPlannedStopCompletesRequests(t *testing.T) {
	b := start(t, fleet.Options{Routers: 3, Engines: 3, Engine: target.EngineOptions{PerWord: 20 * time.Millisecond}})
	stopping := b.Routers[2]
	const concurrent = 12
	results := make([]fleet.Result, concurrent)
	var wg sync.WaitGroup
	for i := range concurrent {
		wg.Go(func() {
			results[i] = b.caller.Chat(b.ctx, stopping.CallerAddr(), fmt.Sprint(i), fmt.Sprint(i), words, i%2 == 0)
		})
	}
	b.waitFor(t, "all requests run", func() bool {
		running := 0
		for _, e := range b.Engines {
			running += e.Counts().Served
		}
		return running == concurrent
	})
	stopping.Stop()
	wg.Wait()
	for i, r := range results {
		if !r.Correct(fmt.Sprint(i), words) {
			t.Errorf("request %d returned %+v", i, r)
		}
	}
	b.Unlist(string(stopping.ID))
	if r := b.caller.Chat(b.ctx, b.Routers[0].CallerAddr(), "0", "after", words, true); !r.Correct("after", words) {
		t.Errorf("a chat after the stop returned %+v", r)
	}
}

func TestKilledEngineAndHome(t *testing.T) {
	b := start(t, fleet.Options{Routers: 4, Engines: 4})
	b.Engines[1].Kill()
	b.Routers[3].Kill()
	for i := range 40 {
		q := fmt.Sprint(i)
		if r := b.caller.Chat(b.ctx, b.Routers[i%3].CallerAddr(), q, q, words, i%2 == 0); !r.Correct(q, words) {
			t.Fatalf("request %d returned %+v", i, r)
		}
	}
}

func TestUnknownTokens(t *testing.T) {
	b := start(t, fleet.Options{Routers: 1, Engines: 1})
	unknown := &fleet.Caller{HTTP: http.DefaultClient, Token: "nobody"}
	if r := unknown.Chat(b.ctx, b.Routers[0].CallerAddr(), "c", "q", words, false); r.Status != http.StatusUnauthorized || r.Outcome != retry.NotRun {
		t.Errorf("got %+v, want 401 and not_run", r)
	}
	client := peerpb.NewAdminServiceClient(http.DefaultClient, "http://"+b.Routers[0].AdminAddr())
	_, err := client.Show(b.ctx, connect.NewRequest(&peerpb.ShowRequest{}))
	if connect.CodeOf(err) != connect.CodeUnauthenticated {
		t.Errorf("an admin request without a token returned %v", err)
	}
}

func TestAcceptedRequiresEveryRouter(t *testing.T) {
	b := start(t, fleet.Options{Routers: 3, Engines: 1})
	operator := fleet.NewOperator(http.DefaultClient, b.Routers[0].AdminAddr())
	revision := b.apply(t, "second", strings.Replace(configurationText(), "slots = 8", "slots = 9", 1))
	b.waitFor(t, "the revision is accepted", func() bool {
		reply, err := operator.Client.Accepted(b.ctx, connect.NewRequest(&peerpb.AcceptedRequest{Revision: uint64(revision)}))
		return err == nil && reply.Msg.GetAccepted()
	})
	// A killed router that the platform still lists may still serve, so it counts as outstanding.
	b.Routers[2].Kill()
	reply, err := operator.Client.Accepted(b.ctx, connect.NewRequest(&peerpb.AcceptedRequest{Revision: uint64(revision) + 1}))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(3, len(reply.Msg.GetOutstanding())); diff != "" {
		t.Error(diff)
	}
}

// A router that was paused sends an order of an earlier configuration after it resumes. An engine
// that checks the epoch rejects it. An engine that does not executes it, and then receives the
// current order again.
func TestStaleModelOrders(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced ", fenced), func(t *testing.T) {
			b := start(t, fleet.Options{Routers: 2, Engines: 3, Engine: target.EngineOptions{Fenced: fenced, Model: "old"}})
			b.apply(t, "model", strings.Replace(configurationText(), "slots = 8", "slots = 8\nmodel = new", 1))
			haveNewModel := func() bool {
				for _, e := range b.Engines {
					if e.Counts().Model != "new" {
						return false
					}
				}
				return true
			}
			b.waitFor(t, "all engines have the new model", haveNewModel)
			late := engine.New(http.DefaultTransport, time.Second)
			err := late.Send(b.ctx, b.Engines[0].Addr(), engine.Order{Kind: engine.LoadModel, Epoch: 1, Model: "old"})
			if kind := fault.KindOf[engine.Kind](err); fenced != (kind == engine.Stale) {
				t.Errorf("a stale order returned %v", err)
			}
			if fenced && !haveNewModel() {
				t.Error("a stale order was executed")
			}
			b.waitFor(t, "all engines have the new model again", haveNewModel)
		})
	}
}

// The prefixes of an engine's chats are cached at other engines when it leaves.
func TestLeavingEngineExportsItsChats(t *testing.T) {
	b := start(t, fleet.Options{Routers: 2, Engines: 3, Engine: target.EngineOptions{CacheSize: 100}})
	b.apply(t, "export", strings.Replace(configurationText(), "shards = 2", "shards = 1\nexport = true", 1))
	const chats = 12
	sendChats := func(round string) (warmCount int) {
		before := b.warmCount()
		for i := range chats {
			q := fmt.Sprint(round, i)
			if r := b.caller.Chat(b.ctx, b.Routers[i%2].CallerAddr(), fmt.Sprint("chat", i), q, words, true); !r.Correct(q, words) {
				t.Fatalf("got %+v", r)
			}
		}
		return b.warmCount() - before
	}
	sendChats("first")
	leaving := b.Engines[0]
	if leaving.Counts().Served == 0 {
		t.Fatal("the engine that is to leave has served no chats")
	}
	leaving.Leave()
	b.waitFor(t, "the engine has received the order to export", func() bool { return leaving.Counts().Orders > 0 })
	b.waitFor(t, "both routers have the engine as leaving", func() bool {
		return b.Routers[0].Leaving(leaving.ID) && b.Routers[1].Leaving(leaving.ID)
	})
	served := leaving.Counts().Served
	if warmCount := sendChats("second"); warmCount != chats {
		t.Errorf("%d of %d chats found their prefix cached", warmCount, chats)
	}
	if leaving.Counts().Served != served {
		t.Error("the leaving engine received new requests")
	}
}

// warmCount returns the number of requests that found their prefix cached at their engine.
func (b *fixture) warmCount() int {
	total := 0
	for _, e := range b.Engines {
		total += e.Counts().Warm
	}
	return total
}

func TestHTTP2Targets(t *testing.T) {
	b := start(t, fleet.Options{Routers: 1, Engines: 2, Plain: 1})
	http2Configuration := strings.ReplaceAll(configurationText(), "kind = ", "protocol = http2\nkind = ")
	b.apply(t, "http2", http2Configuration)
	for i := range 6 {
		q := fmt.Sprint(i)
		if r := b.caller.Chat(b.ctx, b.Routers[0].CallerAddr(), q, q, words, i%2 == 0); !r.Correct(q, words) {
			t.Fatalf("got %+v", r)
		}
	}
	for range 2 {
		if r := b.caller.Order(b.ctx, b.Routers[0].CallerAddr(), "k", "roses"); r.Outcome != retry.Done {
			t.Errorf("got %+v", r)
		}
	}
	if n := b.Plain[0].Runs()["k"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// When a caller disconnects, its request is cancelled at the engine and its permit is returned to
// the home.
func TestCallerDisconnects(t *testing.T) {
	b := start(t, fleet.Options{Routers: 2, Engines: 1, Engine: target.EngineOptions{PerWord: time.Minute}})
	for _, stream := range []bool{true, false} {
		ctx, cancel := context.WithCancel(b.ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			b.caller.Chat(ctx, b.Routers[0].CallerAddr(), "c", "q", words, stream)
		}()
		b.waitFor(t, "the engine runs the request", func() bool { return b.Engines[0].Counts().Running == 1 })
		cancel()
		<-done
		b.waitFor(t, "the engine runs no request", func() bool { return b.Engines[0].Counts().Running == 0 })
		b.waitFor(t, "no permit is held", func() bool { return b.Routers[0].Permits()+b.Routers[1].Permits() == 0 })
	}
}
