package peer

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/rule/canary"
	"valescale/internal/rule/crash"
	"valescale/internal/share/peerpb"
)

// Encode returns the wire form of a digest. Times are sent as ages, since the clocks of routers
// differ.
func Encode(now time.Time, d Digest) *peerpb.Digest {
	out := &peerpb.Digest{
		From:         string(d.From),
		HeadRevision: uint64(d.Head),
		MembersHash:  d.MembersHash,
		Whole:        d.RequestMembers,
		InForce:      d.InForce,
		Era:          uint64(d.Era),
		Pressure:     uint32(d.Pressure),
	}
	for _, m := range d.Members {
		out.Members = append(out.Members, EncodeMember(m))
	}
	for _, m := range d.Leaving {
		out.Marks = append(out.Marks, &peerpb.Mark{Target: string(m.Target), Incarnation: uint64(m.Incarnation)})
	}
	for _, a := range d.Acks {
		out.Acks = append(out.Acks, &peerpb.Ack{Member: a.Member, Revision: uint64(a.Revision)})
	}
	for _, s := range d.Suspects {
		if s.Kind == crash.PromptPart {
			out.PartSuspects = append(out.PartSuspects, encodeSuspect(now, s))
			continue
		}
		out.Suspects = append(out.Suspects, encodeSuspect(now, s))
	}
	for _, r := range d.CanaryReports {
		out.Trials = append(out.Trials, &peerpb.Trial{
			Number: r.Number, Source: r.Source, Answers: uint32(r.Answers), Poor: uint32(r.Poor), Expected: float32(r.Expected),
		})
	}
	return out
}

// encodeSuspect returns the wire form of a suspect.
func encodeSuspect(now time.Time, s crash.Suspect) *peerpb.Suspect {
	out := &peerpb.Suspect{Request: s.Hash}
	for _, e := range s.Crashes {
		out.Starts = append(out.Starts, uint32(e.Start))
		out.AgesMs = append(out.AgesMs, millis(now.Sub(e.At)))
		out.RanMs = append(out.RanMs, millis(e.Ran))
	}
	if !s.Served.IsZero() {
		out.ServedMs = millis(now.Sub(s.Served)) + 1
	}
	if !s.Tried.IsZero() {
		out.TriedMs = millis(now.Sub(s.Tried)) + 1
	}
	return out
}

// maxAge limits the ages on the wire. One day is longer than the retention period of any record.
const maxAge = 24 * time.Hour

// millis converts a duration to milliseconds, limited to maxAge.
func millis(d time.Duration) uint32 {
	return uint32(min(max(d, 0), maxAge).Milliseconds())
}

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// decodeSuspect reads the wire form of a suspect whose trait is of the given kind. Crashes without all of their fields are
// left out.
func decodeSuspect(now time.Time, kind crash.Kind, in *peerpb.Suspect) crash.Suspect {
	s := crash.Suspect{Trait: crash.Trait{Kind: kind, Hash: in.GetRequest()}}
	ages, ran := in.GetAgesMs(), in.GetRanMs()
	for i, start := range in.GetStarts()[:min(len(in.GetStarts()), len(ages), len(ran))] {
		s.Crashes = append(s.Crashes, crash.Crash{Start: crash.Start(start), At: now.Add(-duration(ages[i])), Ran: duration(ran[i])})
	}
	if in.GetServedMs() > 0 {
		s.Served = now.Add(-duration(in.GetServedMs() - 1))
	}
	if in.GetTriedMs() > 0 {
		s.Tried = now.Add(-duration(in.GetTriedMs() - 1))
	}
	return s
}

// decodePressure reads the wire form of a pressure. Values of later versions count as unknown.
func decodePressure(in uint32) Pressure {
	if in > uint32(PressureHigh) {
		return PressureUnknown
	}
	return Pressure(in)
}

// Decode reads the wire form of a digest.
func Decode(now time.Time, in *peerpb.Digest) Digest {
	d := Digest{
		From:           ident.Router(in.GetFrom()),
		Head:           ident.Revision(in.GetHeadRevision()),
		MembersHash:    in.GetMembersHash(),
		RequestMembers: in.GetWhole(),
		InForce:        in.GetInForce(),
		Era:            table.Era(in.GetEra()),
		Pressure:       decodePressure(in.GetPressure()),
	}
	for _, m := range in.GetMembers() {
		d.Members = append(d.Members, decodeMember(m))
	}
	for _, m := range in.GetMarks() {
		d.Leaving = append(d.Leaving, LeavingTarget{Target: ident.Target(m.GetTarget()), Incarnation: ident.Incarnation(m.GetIncarnation())})
	}
	for _, a := range in.GetAcks() {
		d.Acks = append(d.Acks, Ack{Member: a.GetMember(), Revision: ident.Revision(a.GetRevision())})
	}
	for _, s := range in.GetSuspects() {
		d.Suspects = append(d.Suspects, decodeSuspect(now, crash.WholeRequest, s))
	}
	for _, s := range in.GetPartSuspects() {
		d.Suspects = append(d.Suspects, decodeSuspect(now, crash.PromptPart, s))
	}
	for _, r := range in.GetTrials() {
		d.CanaryReports = append(d.CanaryReports, canary.Report{Number: r.GetNumber(), Source: r.GetSource(), Evidence: canary.Evidence{
			Answers: int(r.GetAnswers()), Poor: int(r.GetPoor()), Expected: float64(r.GetExpected()),
		}})
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
		Cores:       float32(m.Cores),
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
		Cores:       ident.Cores(m.GetCores()),
	}
}
