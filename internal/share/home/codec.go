package home

import (
	"math"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/pace"
	"valescale/internal/rule/place"
	"valescale/internal/share/peerpb"
)

func shardID(pool string, shard uint32) place.ShardID {
	return place.ShardID{Pool: ident.Pool(pool), Shard: ident.Shard(shard)}
}

// encodePermitRequest returns the wire form of a permit request. Permit numbers are encoded
// relative to base.
func encodePermitRequest(req PermitRequest, released []uint64, base uint64) *peerpb.PlaceRequest {
	return &peerpb.PlaceRequest{
		Permit:    req.Permit - base,
		Pool:      uint32(req.Shard.Pool.Hash()),
		Shard:     uint32(req.Shard.Shard),
		Key:       uint64(req.Key),
		Workspace: string(req.Workspace),
		Work:      int64(req.Work),
		Priority:  int32(req.Priority),
		WaitMs:    req.Wait.Milliseconds(),
		Must:      req.MustPlace,
		Released:  offsetPermits(released, -base),
		Weight:    int32(req.Weight),
		Avoid:     encodeHashes(req.Avoid),
		Lost:      encodeHashes(req.Lost),
		Last:      uint32(req.Last),
		Once:      req.Once,
		Sums:      encodeShardLoads(req.ShardLoads),
		Failed:    encodeHashes(req.Failed),
		Backoffs:  encodeBackoffs(req.Backoffs),
		ReadMs:    encodeMs(req.Effort.Read),
		PrefixMs:  encodeMs(req.Effort.Prefix),
		MakeMs:    encodeMs(req.Effort.Make),
		DueMs:     encodeMs(req.Due),
		Paces:     encodeReports(req.Paces),
		Parent:    uint32(req.Parent),
		Version:   string(req.Version),
		Silent:    encodeHashes(req.Silent),
		Answered:  encodeHashes(req.Answered),
	}
}

func encodeHashes(hashes []ident.TargetHash) []uint32 {
	out := make([]uint32, 0, len(hashes))
	for _, h := range hashes {
		out = append(out, uint32(h))
	}
	return out
}

func decodeHashes(in []uint32) []ident.TargetHash {
	var out []ident.TargetHash
	for _, h := range in {
		out = append(out, ident.TargetHash(h))
	}
	return out
}

func encodeBackoffs(backoffs []place.Backoff) []*peerpb.Backoff {
	out := make([]*peerpb.Backoff, 0, len(backoffs))
	for _, r := range backoffs {
		out = append(out, &peerpb.Backoff{Engine: uint32(r.Engine), LeftMs: uint32(r.Left.Milliseconds())})
	}
	return out
}

func decodeBackoffs(in []*peerpb.Backoff) []place.Backoff {
	var out []place.Backoff
	for _, r := range in {
		out = append(out, place.Backoff{Engine: ident.TargetHash(r.GetEngine()), Left: time.Duration(r.GetLeftMs()) * time.Millisecond})
	}
	return out
}

func encodeShardLoads(loads []place.ShardLoad) []*peerpb.Sum {
	out := make([]*peerpb.Sum, 0, len(loads))
	for _, s := range loads {
		out = append(out, &peerpb.Sum{Shard: uint32(s.Shard), AgeMs: uint32(s.Age.Milliseconds()), Work: int64(s.Work)})
	}
	return out
}

func decodeShardLoads(in []*peerpb.Sum) []place.ShardLoad {
	out := make([]place.ShardLoad, 0, len(in))
	for _, s := range in {
		out = append(out, place.ShardLoad{
			Shard: ident.Shard(s.GetShard()), Age: time.Duration(s.GetAgeMs()) * time.Millisecond, Work: ident.Work(s.GetWork()),
		})
	}
	return out
}

// decodePermitRequest decodes a permit request. Edge, zone, pool and permit base are properties of
// the link and are set by the session.
func decodePermitRequest(m *peerpb.PlaceRequest) PermitRequest {
	return PermitRequest{
		Request: place.Request{
			Permit:    m.GetPermit(),
			Key:       ident.ChatKey(m.GetKey()),
			Work:      ident.Work(max(m.GetWork(), 1)),
			MustPlace: m.GetMust(),
			Avoid:     decodeHashes(m.GetAvoid()),
			Lost:      decodeHashes(m.GetLost()),
			Last:      ident.TargetHash(m.GetLast()),
			Once:      m.GetOnce(),
			Effort:    pace.Effort{Read: decodeMs(m.GetReadMs()), Prefix: decodeMs(m.GetPrefixMs()), Make: decodeMs(m.GetMakeMs())},
			Due:       decodeMs(m.GetDueMs()),
			Parent:    ident.ChatKey(m.GetParent()),
			Version:   ident.Version(m.GetVersion()),
		},
		Shard:      place.ShardID{Shard: ident.Shard(m.GetShard())},
		Workspace:  ident.Workspace(m.GetWorkspace()),
		Weight:     int(m.GetWeight()),
		Priority:   int(m.GetPriority()),
		Wait:       time.Duration(m.GetWaitMs()) * time.Millisecond,
		ShardLoads: decodeShardLoads(m.GetSums()),
		Failed:     decodeHashes(m.GetFailed()),
		Backoffs:   decodeBackoffs(m.GetBackoffs()),
		Paces:      decodeReports(m.GetPaces()),
		Silent:     decodeHashes(m.GetSilent()),
		Answered:   decodeHashes(m.GetAnswered()),
	}
}

// encodeMs encodes a duration as milliseconds.
func encodeMs(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// decodeMs decodes a duration in milliseconds.
func decodeMs(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// percent is the resolution of encoded paces.
const percent = 100

// encodePace encodes a pace in percent of the usual time. An implausible pace is encoded as zero,
// which means none.
func encodePace(p pace.Pace) uint32 {
	if !p.Valid() {
		return 0
	}
	return uint32(math.Round(float64(p) * percent))
}

// decodePace decodes a pace.
func decodePace(encoded uint32) pace.Pace { return pace.Pace(encoded) / percent }

func encodeReports(reports []pace.Report) []*peerpb.EnginePace {
	out := make([]*peerpb.EnginePace, 0, len(reports))
	for _, r := range reports {
		out = append(out, &peerpb.EnginePace{
			Engine: uint32(r.Target), Reported: encodePace(r.Reported), AgeMs: encodeMs(r.Age), TookMs: encodeMs(r.Took), ExpectedMs: encodeMs(r.Expected),
		})
	}
	return out
}

func decodeReports(in []*peerpb.EnginePace) []pace.Report {
	var out []pace.Report
	for _, r := range in {
		out = append(out, pace.Report{
			Target: ident.TargetHash(r.GetEngine()), Reported: decodePace(r.GetReported()), Age: decodeMs(r.GetAgeMs()),
			Took: decodeMs(r.GetTookMs()), Expected: decodeMs(r.GetExpectedMs()),
		})
	}
	return out
}

func encodePermitResponse(resp PermitResponse) *peerpb.PlaceReply {
	rule, load, mean := encodeBasis(resp.Basis)
	return &peerpb.PlaceReply{
		Result:       peerpb.PlaceResult(resp.Result),
		Engine:       uint32(resp.Engine),
		Warm:         resp.Warm,
		Holder:       uint32(resp.Holder),
		RetryAfterMs: resp.RetryAfter.Milliseconds(),
		Held:         uint32(resp.Held),
		Work:         int64(resp.Work),
		Sums:         encodeShardLoads(resp.ShardLoads),
		Rule:         rule,
		Load:         load,
		Mean:         mean,
	}
}

func decodePermitResponse(m *peerpb.PlaceReply) PermitResponse {
	return PermitResponse{
		Result:     Result(m.GetResult()),
		Engine:     ident.TargetHash(m.GetEngine()),
		Warm:       m.GetWarm(),
		Holder:     ident.TargetHash(m.GetHolder()),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		Held:       int(m.GetHeld()),
		Work:       ident.Work(m.GetWork()),
		ShardLoads: decodeShardLoads(m.GetSums()),
		Basis:      decodeBasis(m),
	}
}

// basisResolution is the resolution of the loads in an encoded basis. They serve logs only and are
// sent with every permit, so they are kept short.
const basisResolution = ident.OneRequest / 10

// encodeBasis encodes the default rule, WithinBound, as zero, so that it takes no bytes on the
// wire. The same holds for responses without a placement.
func encodeBasis(b place.Basis) (rule, load, mean uint32) {
	return uint32(max(b.Rule, place.WithinBound) - place.WithinBound), uint32(b.Load / basisResolution), uint32(b.Mean / basisResolution)
}

func decodeBasis(m *peerpb.PlaceReply) place.Basis {
	if m.GetResult() != peerpb.PlaceResult(Placed) {
		return place.Basis{}
	}
	return place.Basis{
		Rule: place.WithinBound + place.Rule(m.GetRule()),
		Load: ident.Work(m.GetLoad()) * basisResolution,
		Mean: ident.Work(m.GetMean()) * basisResolution,
	}
}

// encodePermits omits the edge of the permits, because an edge router sends only its own.
func encodePermits(permits []place.Permit) []*peerpb.Permit {
	out := make([]*peerpb.Permit, 0, len(permits))
	for _, p := range permits {
		out = append(out, &peerpb.Permit{Id: p.ID, Engine: uint32(p.Engine), Work: int64(p.Work)})
	}
	return out
}

// decodePermits decodes the permits of an edge router.
func decodePermits(edge ident.Router, permits []*peerpb.Permit) []place.Permit {
	out := make([]place.Permit, 0, len(permits))
	for _, p := range permits {
		out = append(out, place.Permit{
			Edge: edge, ID: p.GetId(), Engine: ident.TargetHash(p.GetEngine()), Work: ident.Work(max(p.GetWork(), 0)),
		})
	}
	return out
}

func encodeDigest(d place.Digest) *peerpb.ShardLoad {
	out := &peerpb.ShardLoad{
		Pool: uint32(d.ID.Pool.Hash()), Shard: uint32(d.ID.Shard), Seq: d.Seq, Work: int64(d.Work),
	}
	for _, l := range d.Loads {
		out.Engines = append(out.Engines, uint32(l.Engine))
		out.Loads = append(out.Loads, uint32(max(l.Work, 0)))
	}
	out.Places = encodePlaces(d.Places)
	for _, p := range d.Paces {
		out.Paced = append(out.Paced, uint32(p.Engine))
		out.Paces = append(out.Paces, encodePace(p.Pace))
	}
	return out
}

func encodePlaces(places []place.ChatPlace) []*peerpb.ChatPlace {
	out := make([]*peerpb.ChatPlace, 0, len(places))
	for _, c := range places {
		out = append(out, &peerpb.ChatPlace{
			Key: uint64(c.Key), Engine: uint32(c.Engine), Incarnation: uint64(c.Incarnation), SeenUnixS: c.SeenUnix,
		})
	}
	return out
}

func decodePlaces(in []*peerpb.ChatPlace) []place.ChatPlace {
	out := make([]place.ChatPlace, 0, len(in))
	for _, c := range in {
		out = append(out, place.ChatPlace{
			Key: ident.ChatKey(c.GetKey()), Engine: ident.TargetHash(c.GetEngine()),
			Incarnation: ident.Incarnation(c.GetIncarnation()), SeenUnix: c.GetSeenUnixS(),
		})
	}
	return out
}

func decodeDigest(from ident.Router, pool ident.Pool, in *peerpb.ShardLoad) place.Digest {
	d := place.Digest{
		ID:   place.ShardID{Pool: pool, Shard: ident.Shard(in.GetShard())},
		Home: from, Seq: in.GetSeq(), Work: ident.Work(in.GetWork()),
	}
	d.Places = decodePlaces(in.GetPlaces())
	loads := in.GetLoads()
	for i, engine := range in.GetEngines() {
		if i >= len(loads) {
			break
		}
		d.Loads = append(d.Loads, place.EngineWork{Engine: ident.TargetHash(engine), Work: ident.Work(loads[i])})
	}
	paces := in.GetPaces()
	for i, engine := range in.GetPaced() {
		if i >= len(paces) {
			break
		}
		d.Paces = append(d.Paces, place.EnginePace{Engine: ident.TargetHash(engine), Pace: decodePace(paces[i])})
	}
	return d
}
