package home

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/rule/policy"
	"valescale/internal/share/peerpb"
)

// FuzzLink passes arbitrary link messages to a home and checks that its permit count is correct
// again after the edge router has sent a full list of its permits.
func FuzzLink(f *testing.F) {
	req := PermitRequest{Request: place.Request{Permit: 1, Key: 7, Work: ident.OneRequest}, ShardLoads: []place.ShardLoad{{Shard: 1, Work: 5}}}
	message := &peerpb.LinkRequest{
		Edge: "edge", Places: []*peerpb.PlaceRequest{encodePermitRequest(req, []uint64{3}, 0)},
		Loads: []*peerpb.ShardLoad{encodeDigest(place.Digest{Seq: 1, Work: 9, Loads: []place.EngineWork{{Engine: 1, Work: 9}}})},
	}
	seed, err := proto.Marshal(message)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var m peerpb.LinkRequest
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		const pool, edge = "p@r", "edge"
		now := time.Unix(1_000_000, 0)
		h := New("home", DefaultLimits, func() time.Time { return now }, func(ident.Workspace) (policy.Workspace, bool) {
			return policy.Workspace{}, false
		})
		h.SetPool(pool, place.DefaultBound, place.NewRoster(2, []place.Engine{{ID: "e", Hash: 1, Incarnation: 1}, {ID: "f", Hash: 2, Incarnation: 1}}))
		for _, l := range m.GetLoads() {
			h.Merge([]place.Digest{decodeDigest("other", pool, l)})
		}
		shards := map[place.ShardID]bool{}
		for _, p := range m.GetPlaces() {
			req := decodePermitRequest(p)
			req.Edge, req.Shard.Pool, req.Wait = edge, pool, 0
			shards[req.Shard] = true
			h.Place(t.Context(), req, p.GetReleased())
		}
		for _, r := range m.GetReleases() {
			h.Release(place.ShardID{Pool: pool, Shard: ident.Shard(r.GetShard())}, edge, r.GetReleased())
		}
		for id := range shards {
			h.Sync(id, edge, nil, ^uint64(0), "")
		}
		for id := range shards {
			s := h.shards[id].home
			if s.Len() != 0 || s.Granted() != 0 {
				t.Errorf("home counts %d permits and %d work for an edge router that holds none", s.Len(), s.Granted())
			}
		}
	})
}
