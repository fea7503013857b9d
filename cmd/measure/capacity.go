package main

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"time"

	"valescale/internal/plat/boxes"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/rule/quota"
	"valescale/internal/share/config"
	"valescale/internal/share/peer"
)

// capacity builds the state of each role at several sizes and measures its memory and the time of
// its operations, from which the growth per item follows.
func capacity(options) []row {
	var rows []row
	for _, n := range []int{10_000, 100_000, 1_000_000, 2_500_000} {
		rows = append(rows, chatPlaces(n))
	}
	for _, n := range []int{100, 525, 42_000} {
		rows = append(rows, permits(n))
	}
	for _, n := range []int{100, 400, 1200} {
		rows = append(rows, buckets(n))
	}
	for _, n := range []int{10, 200, 1200} {
		rows = append(rows, configurations(n)...)
	}
	for _, n := range []int{8, 100, 400} {
		rows = append(rows, views(n, n*31/4)...)
	}
	return append(rows, searches()...)
}

// heapInUse returns the heap memory in use after garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureMemory returns a built value and the memory that it holds.
func measureMemory[T any](build func() T) (T, float64) {
	before := heapInUse()
	built := build()
	return built, heapInUse() - before
}

// meanMicros returns the mean time of one call, in microseconds.
func meanMicros(calls int, call func(int)) float64 {
	started := time.Now()
	for i := range calls {
		call(i)
	}
	return float64(time.Since(started).Nanoseconds()) / float64(calls) / 1000
}

func capacityRow(role, unit string, n int, micros, bytes float64) row {
	return row{
		Case: role, Strategy: fmt.Sprintf("%d %s", n, unit), CPUMicros: micros, BytesPer: bytes,
		Note: fmt.Sprintf("%.0f bytes each, %.2f us", bytes/float64(n), micros),
	}
}

func homeWith(engines, places int) (*place.Home, []place.Engine) {
	bound := place.DefaultBound
	bound.MaxPlaces = 2 * places
	h := place.NewHome(place.ShardID{Pool: "judge@r"}, "router-a", bound, 0)
	var list []place.Engine
	for i := range engines {
		id := ident.Target("engine-" + strconv.Itoa(i))
		list = append(list, place.Engine{ID: id, Hash: id.Hash(), Incarnation: 1})
	}
	h.SetEngines(list, []int{engines})
	return h, list
}

func chatPlaces(n int) row {
	const engines = 8
	h, bytes := measureMemory(func() *place.Home {
		h, _ := homeWith(engines, n)
		for i := range n {
			h.Place(epoch, place.Request{Edge: "b", Permit: uint64(i + 1), Key: ident.ChatKey(ident.Mix(uint64(i), 9)), Work: ident.OneRequest})
			h.Release("b", uint64(i+1))
		}
		return h
	})
	micros := meanMicros(200_000, func(i int) {
		h.Place(epoch, place.Request{Edge: "b", Permit: uint64(n + i + 1), Key: ident.ChatKey(ident.Mix(uint64(i%n), 9)), Work: ident.OneRequest})
		h.Release("b", uint64(n+i+1))
	})
	return capacityRow("home: chat places", "chats", n, micros, bytes)
}

func permits(n int) row {
	const engines = 8
	h, bytes := measureMemory(func() *place.Home {
		h, _ := homeWith(engines, 1)
		for i := range n {
			h.Place(epoch, place.Request{Edge: "b", Permit: uint64(i + 1), Key: 1, Work: ident.OneRequest})
		}
		return h
	})
	micros := meanMicros(100_000, func(i int) {
		h.Place(epoch, place.Request{Edge: "b", Permit: uint64(n + i + 1), Key: 1, Work: ident.OneRequest})
		h.Release("b", uint64(n+i+1))
	})
	return capacityRow("home: permits", "permits", n, micros, bytes)
}

func buckets(n int) row {
	built, bytes := measureMemory(func() map[ident.Workspace]*quota.Bucket {
		out := map[ident.Workspace]*quota.Bucket{}
		for i := range n {
			out[ident.Workspace("workspace-"+strconv.Itoa(i))] = quota.NewBucket(epoch, 10, 100)
		}
		return out
	})
	b := built["workspace-0"]
	micros := meanMicros(1_000_000, func(i int) { b.Grant(epoch.Add(time.Duration(i)*time.Millisecond), 1) })
	return capacityRow("home: workspace limits", "workspaces", n, micros, bytes)
}

// configurationOf returns the documents of n workspaces, with one policy per fifty workspaces.
func configurationOf(n int) []policy.Document {
	var text strings.Builder
	text.WriteString("[service judge]\nkind = engine\nshards = 16\n[service board]\nkind = plain\n")
	policies := max(n/50, 1)
	for i := range policies {
		fmt.Fprintf(&text, "[policy p%d]\nservice = request.path.startsWith(\"/v1/\") ? \"judge\" : \"board\"\npriority = %d\n", i, i%10)
	}
	for i := range n {
		fmt.Fprintf(&text, "[workspace w%d]\npolicy = p%d\nrate = 50\ntoken_sha256 = %s\n", i, i%policies, policy.HashToken(strconv.Itoa(i)))
	}
	documents, err := policy.Split("capacity.ini", []byte(text.String()))
	if err != nil {
		panic(err)
	}
	return documents
}

func configurations(n int) []row {
	documents := configurationOf(n)
	k, bytes := measureMemory(func() *config.Keeper {
		k := config.NewKeeper(nil)
		if err := k.InstallSnapshot(config.Snapshot{Revision: 1, Documents: documents}); err != nil {
			panic(err)
		}
		return k
	})
	revision := ident.Revision(1)
	change := documents[len(documents)-1]
	micros := meanMicros(20, func(int) {
		revision++
		if err := k.Install([]config.Change{{Revision: revision, Documents: []policy.Document{change}}}); err != nil {
			panic(err)
		}
	})
	set := k.InForce().Set
	w := set.Workspaces["w0"]
	request := &policy.Request{Method: "POST", Path: "/v1/chat/completions"}
	decide := meanMicros(50_000, func(int) { set.Decide(w, request) })
	return []row{
		capacityRow("configuration: install a change", "workspaces", n, micros, bytes),
		capacityRow("edge: policy decision", "workspaces", n, decide, 0),
	}
}

func views(routers, targets int) []row {
	var list []boxes.Box
	for i := range routers {
		list = append(list, boxes.Box{
			ID: "router-" + strconv.Itoa(i), Role: boxes.RouterRole, Addr: "10.0.0.1:8081", Zone: "zone-a", Region: "region-a", State: boxes.Live,
		})
	}
	for i := range targets {
		list = append(list, boxes.Box{
			ID: "engine-" + strconv.Itoa(i), Role: boxes.TargetRole, Addr: "10.0.0.1:9000", Service: "judge", Zone: "zone-a",
			Region: ident.Region("region-" + strconv.Itoa(i%5)), State: boxes.Live, Incarnation: 1,
		})
	}
	v, bytes := measureMemory(func() *peer.View {
		v := peer.NewView(epoch, peer.Member{ID: "router-0", Region: "region-a"}, peer.DefaultLimits)
		v.ObserveList(epoch, list)
		v.SetRevision(5)
		return v
	})
	observe := meanMicros(50, func(int) { v.ObserveList(epoch, list) })
	exchange := meanMicros(500, func(int) { v.Incoming(epoch, v.Outgoing("router-1", false)) })
	return []row{
		capacityRow("membership: read the list", "boxes", routers+targets, observe, bytes),
		capacityRow("membership: one exchange", "routers", routers, exchange, 0),
	}
}

// searches measures the search order of shards that each request computes first.
func searches() []row {
	var rows []row
	for _, shards := range []int{2, 16} {
		p := place.NewPool("judge@r", shards, place.DefaultBound)
		_, list := homeWith(124, 1)
		p.SetEngines(list)
		micros := meanMicros(200_000, func(i int) {
			s := p.NewSearch(ident.ChatKey(i), "", false)
			s.Next(epoch, p)
		})
		rows = append(rows, capacityRow("edge: order of shards", "shards", shards, micros, 0))
	}
	return rows
}
