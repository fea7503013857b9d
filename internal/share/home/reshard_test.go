package home_test

import (
	"fmt"
	"testing"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/home"
)

// When the number of a pool's shards grows, chats still find the engines that have their prompt
// prefixes cached, although half of the chats prefer another shard and half of the engines belong
// to another one.
func TestPlacesFollowResharding(t *testing.T) {
	before, _, _ := newHomes()
	after, _, _ := newHomes()
	var engines []place.Engine
	for i := range 8 {
		id := ident.Target(fmt.Sprint("engine-", i))
		engines = append(engines, place.Engine{ID: id, Hash: id.Hash(), Incarnation: 1})
	}
	before.SetPool(pool, place.BoundOf(4), place.NewRoster(1, engines))
	const chats = 200
	firstEngine := map[ident.ChatKey]ident.TargetHash{}
	request := func(h *home.Homes, shard ident.Shard, key ident.ChatKey, permit uint64) home.PermitResponse {
		return h.Place(t.Context(), home.PermitRequest{
			Shard:   place.ShardID{Pool: pool, Shard: shard},
			Request: place.Request{Edge: "edge", Permit: permit, Key: key, Work: ident.OneRequest, MustPlace: true},
		}, nil)
	}
	var keys []ident.ChatKey
	for i := range chats {
		keys = append(keys, ident.NewChatKey("", fmt.Sprint(i)))
	}
	for i, key := range keys {
		firstEngine[key] = request(before, 0, key, uint64(i)+1).Engine
	}
	const shards = 2
	before.SetPool(pool, place.BoundOf(4), place.NewRoster(shards, engines))
	after.SetPool(pool, place.BoundOf(4), place.NewRoster(shards, engines))
	for _, transfer := range before.TakeResharded() {
		after.Accept(transfer)
	}
	grown := place.NewPool(pool, shards, place.BoundOf(4))
	grown.SetEngines(engines)
	lost, moved := 0, 0
	for i, key := range keys {
		first, _ := grown.First(key)
		homes := before
		if first != 0 {
			moved++
			homes = after
		}
		a := request(homes, first, key, uint64(chats+i)+1)
		if a.Engine != firstEngine[key] && a.Holder != firstEngine[key] {
			lost++
		}
	}
	if moved < chats/4 {
		t.Errorf("only %d of %d chats prefer another shard", moved, chats)
	}
	if lost > 0 {
		t.Errorf("%d of %d chats neither placed on their engine nor copied from it", lost, chats)
	}
	if again := before.TakeResharded(); len(again) > 0 {
		t.Errorf("%d transfers returned twice", len(again))
	}
}
