package peer

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/peerpb"
)

// Encode returns the wire form of a digest.
func Encode(d Digest) *peerpb.Digest {
	out := &peerpb.Digest{
		From:         string(d.From),
		HeadRevision: uint64(d.Head),
		MembersHash:  d.MembersHash,
		Whole:        d.Whole,
	}
	for _, m := range d.Members {
		out.Members = append(out.Members, EncodeMember(m))
	}
	for _, m := range d.Marks {
		out.Marks = append(out.Marks, &peerpb.Mark{Target: string(m.Target), Incarnation: uint64(m.Incarnation)})
	}
	for _, a := range d.Acks {
		out.Acks = append(out.Acks, &peerpb.Ack{Member: a.Member, Revision: uint64(a.Revision)})
	}
	for _, l := range d.Loads {
		out.Loads = append(out.Loads, encodeLoad(l))
	}
	return out
}

// Decode reads the wire form of a digest.
func Decode(in *peerpb.Digest) Digest {
	d := Digest{
		From:        ident.Router(in.GetFrom()),
		Head:        ident.Revision(in.GetHeadRevision()),
		MembersHash: in.GetMembersHash(),
		Whole:       in.GetWhole(),
	}
	for _, m := range in.GetMembers() {
		d.Members = append(d.Members, decodeMember(m))
	}
	for _, m := range in.GetMarks() {
		d.Marks = append(d.Marks, Mark{Target: ident.Target(m.GetTarget()), Incarnation: ident.Incarnation(m.GetIncarnation())})
	}
	for _, a := range in.GetAcks() {
		d.Acks = append(d.Acks, Ack{Member: a.GetMember(), Revision: ident.Revision(a.GetRevision())})
	}
	for _, l := range in.GetLoads() {
		d.Loads = append(d.Loads, decodeLoad(l))
	}
	return d
}

// EncodeMember returns the wire form of a member.
func EncodeMember(m Member) *peerpb.Member {
	return &peerpb.Member{
		Id:          string(m.ID),
		Addr:        m.Addr,
		Zone:        string(m.Zone),
		Region:      string(m.Region),
		Incarnation: uint64(m.Incarnation),
		State:       peerpb.MemberState(m.State),
		Seq:         m.Seq,
	}
}

func decodeMember(m *peerpb.Member) Member {
	return Member{
		ID:          ident.Router(m.GetId()),
		Addr:        m.GetAddr(),
		Zone:        ident.Zone(m.GetZone()),
		Region:      ident.Region(m.GetRegion()),
		Incarnation: ident.Incarnation(m.GetIncarnation()),
		State:       State(m.GetState()),
		Seq:         m.GetSeq(),
	}
}

func encodeLoad(d place.Digest) *peerpb.ShardLoad {
	out := &peerpb.ShardLoad{
		Pool:  string(d.ID.Pool),
		Shard: uint32(d.ID.Shard),
		Home:  string(d.Home),
		Seq:   d.Seq,
		Work:  int64(d.Work),
		AgeMs: uint32(d.Age.Milliseconds()),
	}
	for _, l := range d.Loads {
		out.Engines = append(out.Engines, uint32(l.Engine))
		out.Loads = append(out.Loads, uint32(max(l.Work, 0)))
	}
	return out
}

func decodeLoad(in *peerpb.ShardLoad) place.Digest {
	d := place.Digest{
		ID:   place.ShardID{Pool: ident.Pool(in.GetPool()), Shard: ident.Shard(in.GetShard())},
		Home: ident.Router(in.GetHome()),
		Seq:  in.GetSeq(),
		Work: ident.Work(in.GetWork()),
		Age:  time.Duration(in.GetAgeMs()) * time.Millisecond,
	}
	loads := in.GetLoads()
	for i, engine := range in.GetEngines() {
		if i >= len(loads) {
			break
		}
		d.Loads = append(d.Loads, place.EngineWork{Engine: ident.TargetHash(engine), Work: ident.Work(loads[i])})
	}
	return d
}
