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

func text() string {
	return fmt.Sprintf(configuration, policy.HashToken("bogota"), policy.HashToken("cali"))
}

type fixture struct {
	*fleet.Fleet
	ctx    context.Context
	caller *fleet.Caller
}

// start brings a small fleet up with its first configuration.
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
	b.apply(t, "first", text())
	return b
}

func (b *fixture) apply(t *testing.T, id, text string) ident.Revision {
	t.Helper()
	if err := b.AwaitReady(b.ctx, 0); err != nil {
		t.Fatal(err)
	}
	revision, err := fleet.NewOperator(http.DefaultClient, b.Routers[0].AdminAddr()).Apply(b.ctx, id, text)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.AwaitReady(b.ctx, revision); err != nil {
		t.Fatal(err)
	}
	return revision
}

// until tries something until it holds.
func (b *fixture) until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-b.ctx.Done():
			t.Fatalf("never came: %s", what)
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
		if !r.Right(question, words) {
			t.Fatalf("question %d got %+v", i, r)
		}
	}
	warm := 0
	for _, e := range b.Engines {
		warm += e.Counts().Warm
	}
	if warm != 16 {
		t.Errorf("%d of 20 requests in 4 chats found their prefix, want 16", warm)
	}
}

func TestStreamResumesAtAnotherRouter(t *testing.T) {
	b := start(t, fleet.Options{Routers: 2, Engines: 2})
	first := b.caller.Chat(b.ctx, b.Routers[0].CallerAddr(), "c", "q", words, true)
	events := strings.Split(strings.TrimSpace(first.Text), " ")
	if !first.Right("q", words) || len(first.IDs) != words {
		t.Fatalf("got %+v", first)
	}
	const have = 7
	rest := b.caller.Resume(b.ctx, b.Routers[1].CallerAddr(), first.IDs[have-1])
	want := strings.Join(events[have:], " ") + " "
	if diff := cmp.Diff(want, rest.Text); diff != "" || !rest.Whole {
		t.Errorf("whole: %v %s", rest.Whole, diff)
	}
	other := &fleet.Caller{HTTP: http.DefaultClient, Token: "cali"}
	if r := other.Resume(b.ctx, b.Routers[1].CallerAddr(), first.IDs[0]); r.Status != http.StatusBadRequest {
		t.Errorf("another workspace resumed the stream: %+v", r)
	}
}

func TestEngineLostMidStream(t *testing.T) {
	b := start(t, fleet.Options{Routers: 2, Engines: 2})
	for _, e := range b.Engines {
		// Whichever engine is first breaks off, and then the other one.
		e.CutStreams(1, 5)
	}
	r := b.caller.Chat(b.ctx, b.Routers[0].CallerAddr(), "c", "q", words, true)
	if !r.Right("q", words) {
		t.Errorf("got %+v", r)
	}
}

func TestBrokenStreamSaysSo(t *testing.T) {
	b := start(t, fleet.Options{Routers: 1, Engines: 1})
	b.Engines[0].CutStreams(100, 5)
	r := b.caller.Chat(b.ctx, b.Routers[0].CallerAddr(), "c", "q", words, true)
	if r.Whole || r.Outcome != retry.Unknown || r.Code == "" {
		t.Errorf("got %+v, want an error event that says unknown", r)
	}
}

func TestOrdersRunOnce(t *testing.T) {
	b := start(t, fleet.Options{Routers: 3, Engines: 1, Plain: 2})
	b.Store.LoseAnswers(5)
	b.Plain[0].LoseAnswers(3)
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
	for key, told := range outcomes {
		if runs[key] != 1 {
			t.Errorf("%s ran %d times; its callers were told %v", key, runs[key], told)
		}
	}
}

func TestStoreDown(t *testing.T) {
	b := start(t, fleet.Options{Routers: 2, Engines: 2, Plain: 1})
	b.Store.SetDown(true)
	if r := b.caller.Chat(b.ctx, b.Routers[0].CallerAddr(), "c", "q", words, false); !r.Right("q", words) {
		t.Errorf("a chat got %+v", r)
	}
	if r := b.caller.Order(b.ctx, b.Routers[0].CallerAddr(), "order-1", "roses"); r.Outcome != retry.NotRun || r.Status != http.StatusServiceUnavailable {
		t.Errorf("an order got %+v, want not_run", r)
	}
	if n := b.Plain[0].Runs()["order-1"]; n != 0 {
		t.Errorf("the order ran %d times", n)
	}
	late, err := b.AddRouter(2)
	if err != nil {
		t.Fatal(err)
	}
	b.until(t, "a router started without the store is ready", late.Ready)
	if late.Revision() != b.Routers[0].Revision() {
		t.Errorf("it has revision %d in force, the others %d", late.Revision(), b.Routers[0].Revision())
	}
	b.Store.SetDown(false)
	b.until(t, "the order runs once the store is back", func() bool {
		return b.caller.Order(b.ctx, b.Routers[1].CallerAddr(), "order-1", "roses").Outcome == retry.Done
	})
	if n := b.Plain[0].Runs()["order-1"]; n != 1 {
		t.Errorf("the order ran %d times, want once", n)
	}
}

func TestLeavingEngineWithTheListStuck(t *testing.T) {
	b := start(t, fleet.Options{Routers: 3, Engines: 3})
	// The list still says live; only the engine itself says that it leaves.
	b.Engines[0].Leave()
	b.until(t, "all routers know", func() bool {
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
		if r := b.caller.Chat(b.ctx, b.Routers[i%3].CallerAddr(), q, q, words, true); !r.Right(q, words) {
			t.Fatalf("got %+v", r)
		}
	}
	if after := b.Engines[0].Counts().Served; after != before {
		t.Errorf("the leaving engine got %d new requests", after-before)
	}
}

// An operator closes an availability zone of a service and opens it again.
func TestClosedZone(t *testing.T) {
	b := start(t, fleet.Options{Routers: 3, Engines: 3})
	ask := func(what string) int {
		before := b.Engines[0].Counts().Served
		for i := range 30 {
			q := fmt.Sprint(what, i)
			if r := b.caller.Chat(b.ctx, b.Routers[i%3].CallerAddr(), q, q, words, true); !r.Right(q, words) {
				t.Fatalf("got %+v", r)
			}
		}
		return b.Engines[0].Counts().Served - before
	}
	closed := "closed_zones = " + string(b.Engines[0].Zone) + "\nslots = 8"
	b.apply(t, "closed", strings.Replace(text(), "slots = 8", closed, 1))
	if got := ask("closed"); got != 0 {
		t.Errorf("the engine of the closed zone got %d requests", got)
	}
	b.apply(t, "open", text())
	if got := ask("open"); got == 0 {
		t.Error("the engine of the opened zone got no requests")
	}
}

func TestPlannedStopCutsNothing(t *testing.T) {
	b := start(t, fleet.Options{Routers: 3, Engines: 3, Engine: target.EngineOptions{PerWord: 20 * time.Millisecond}})
	stopping := b.Routers[2]
	const atOnce = 12
	results := make([]fleet.Result, atOnce)
	var wg sync.WaitGroup
	for i := range atOnce {
		wg.Go(func() {
			results[i] = b.caller.Chat(b.ctx, stopping.CallerAddr(), fmt.Sprint(i), fmt.Sprint(i), words, i%2 == 0)
		})
	}
	b.until(t, "all requests run", func() bool {
		running := 0
		for _, e := range b.Engines {
			running += e.Counts().Served
		}
		return running == atOnce
	})
	stopping.Stop()
	wg.Wait()
	for i, r := range results {
		if !r.Right(fmt.Sprint(i), words) {
			t.Errorf("request %d got %+v", i, r)
		}
	}
	b.Unlist(string(stopping.ID))
	if r := b.caller.Chat(b.ctx, b.Routers[0].CallerAddr(), "0", "after", words, true); !r.Right("after", words) {
		t.Errorf("after the stop got %+v", r)
	}
}

func TestKilledEngineAndHome(t *testing.T) {
	b := start(t, fleet.Options{Routers: 4, Engines: 4})
	b.Engines[1].Kill()
	b.Routers[3].Kill()
	for i := range 40 {
		q := fmt.Sprint(i)
		if r := b.caller.Chat(b.ctx, b.Routers[i%3].CallerAddr(), q, q, words, i%2 == 0); !r.Right(q, words) {
			t.Fatalf("request %d got %+v", i, r)
		}
	}
}

func TestTokensOfOthers(t *testing.T) {
	b := start(t, fleet.Options{Routers: 1, Engines: 1})
	nobody := &fleet.Caller{HTTP: http.DefaultClient, Token: "nobody"}
	if r := nobody.Chat(b.ctx, b.Routers[0].CallerAddr(), "c", "q", words, false); r.Status != http.StatusUnauthorized || r.Outcome != retry.NotRun {
		t.Errorf("got %+v, want 401 and not_run", r)
	}
	client := peerpb.NewAdminServiceClient(http.DefaultClient, "http://"+b.Routers[0].AdminAddr())
	_, err := client.Show(b.ctx, connect.NewRequest(&peerpb.ShowRequest{}))
	if connect.CodeOf(err) != connect.CodeUnauthenticated {
		t.Errorf("an operator's command without a token got %v", err)
	}
}

func TestAcceptedWaitsForEveryRouter(t *testing.T) {
	b := start(t, fleet.Options{Routers: 3, Engines: 1})
	operator := fleet.NewOperator(http.DefaultClient, b.Routers[0].AdminAddr())
	revision := b.apply(t, "second", strings.Replace(text(), "slots = 8", "slots = 9", 1))
	b.until(t, "the revision is accepted", func() bool {
		reply, err := operator.Client.Accepted(b.ctx, connect.NewRequest(&peerpb.AcceptedRequest{Revision: uint64(revision)}))
		return err == nil && reply.Msg.GetAccepted()
	})
	// A router that died without the platform noticing may still serve, so it counts.
	b.Routers[2].Kill()
	reply, err := operator.Client.Accepted(b.ctx, connect.NewRequest(&peerpb.AcceptedRequest{Revision: uint64(revision) + 1}))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(3, len(reply.Msg.GetOutstanding())); diff != "" {
		t.Error(diff)
	}
}

// A router that was paused wakes and sends an order of an earlier configuration. A
// target that checks refuses it; at one that does not, it does not last.
func TestLateModelOrders(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprint("fenced ", fenced), func(t *testing.T) {
			b := start(t, fleet.Options{Routers: 2, Engines: 3, Engine: target.EngineOptions{Fenced: fenced, Model: "old"}})
			b.apply(t, "model", strings.Replace(text(), "slots = 8", "slots = 8\nmodel = new", 1))
			wanted := func() bool {
				for _, e := range b.Engines {
					if e.Counts().Model != "new" {
						return false
					}
				}
				return true
			}
			b.until(t, "all engines have the wanted model", wanted)
			late := engine.New(http.DefaultTransport, time.Second)
			err := late.Send(b.ctx, b.Engines[0].Addr(), engine.Order{Kind: engine.LoadModel, Epoch: 1, Model: "old"})
			if kind := fault.KindOf[engine.Kind](err); fenced != (kind == engine.Stale) {
				t.Errorf("a late order got %v", err)
			}
			if fenced && !wanted() {
				t.Error("a late order was followed")
			}
			b.until(t, "the wanted model is back", wanted)
		})
	}
}

// The chats of an engine that leaves find their context at its successors.
func TestLeavingEngineExportsItsChats(t *testing.T) {
	b := start(t, fleet.Options{Routers: 2, Engines: 3, Engine: target.EngineOptions{Cache: 100}})
	b.apply(t, "export", strings.Replace(text(), "shards = 2", "shards = 1\nexport = true", 1))
	const chats = 12
	ask := func(round string) (warm int) {
		before := b.warm()
		for i := range chats {
			q := fmt.Sprint(round, i)
			if r := b.caller.Chat(b.ctx, b.Routers[i%2].CallerAddr(), fmt.Sprint("chat", i), q, words, true); !r.Right(q, words) {
				t.Fatalf("got %+v", r)
			}
		}
		return b.warm() - before
	}
	ask("first")
	leaving := b.Engines[0]
	if leaving.Counts().Served == 0 {
		t.Fatal("the leaving engine has no chats")
	}
	leaving.Leave()
	b.until(t, "the engine is told to export", func() bool { return leaving.Counts().Orders > 0 })
	b.until(t, "all routers know that it leaves", func() bool {
		return b.Routers[0].Leaving(leaving.ID) && b.Routers[1].Leaving(leaving.ID)
	})
	served := leaving.Counts().Served
	if warm := ask("second"); warm != chats {
		t.Errorf("%d of %d chats found their context", warm, chats)
	}
	if leaving.Counts().Served != served {
		t.Error("the leaving engine got new work")
	}
}

// warm is how many requests found their prefix at the engines.
func (b *fixture) warm() int {
	sum := 0
	for _, e := range b.Engines {
		sum += e.Counts().Warm
	}
	return sum
}

func TestHTTP2Targets(t *testing.T) {
	b := start(t, fleet.Options{Routers: 1, Engines: 2, Plain: 1})
	both := strings.ReplaceAll(text(), "kind = ", "protocol = http2\nkind = ")
	b.apply(t, "http2", both)
	for i := range 6 {
		q := fmt.Sprint(i)
		if r := b.caller.Chat(b.ctx, b.Routers[0].CallerAddr(), q, q, words, i%2 == 0); !r.Right(q, words) {
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

// A caller that goes away takes its request off the engine and its permit off the home.
func TestCallerGoesAway(t *testing.T) {
	b := start(t, fleet.Options{Routers: 2, Engines: 1, Engine: target.EngineOptions{PerWord: time.Minute}})
	for _, stream := range []bool{true, false} {
		ctx, cancel := context.WithCancel(b.ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			b.caller.Chat(ctx, b.Routers[0].CallerAddr(), "c", "q", words, stream)
		}()
		b.until(t, "the engine runs it", func() bool { return b.Engines[0].Counts().Running == 1 })
		cancel()
		<-done
		b.until(t, "the engine is free", func() bool { return b.Engines[0].Counts().Running == 0 })
		b.until(t, "no permit is out", func() bool { return b.Routers[0].Permits()+b.Routers[1].Permits() == 0 })
	}
}
