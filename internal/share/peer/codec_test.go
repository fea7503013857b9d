package peer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/crash"
	"valescale/internal/rule/place"
)

// A member is unchanged after encoding and decoding: routers that disagree on the cores of a box by
// a rounding error permanently disagree on the homes of shards.
func TestMemberRoundTrip(t *testing.T) {
	for _, cores := range []ident.Cores{0.1, 0.192, 0.4, 0.8, 3} {
		sent := Member{ID: "r", Addr: "10.0.0.1:1", Zone: "a", Region: "co", Incarnation: 7, Cores: cores, State: Live, Seq: 3}
		if diff := cmp.Diff(sent, decodeMember(EncodeMember(sent))); diff != "" {
			t.Errorf("%v cores: %s", cores, diff)
		}
	}
}

// Each router uses its own cores as configured and those of its peers as decoded. All routers must
// compute the same homes.
func TestAllRoutersAgreeOnHomes(t *testing.T) {
	routers := []ident.Router{"a", "b", "c", "d", "e", "f", "g"}
	var shards []place.ShardID
	for _, pool := range []ident.Pool{"one", "two", "three", "four", "five"} {
		shards = append(shards, place.ShardID{Pool: pool})
	}
	homes := func(self ident.Router) map[place.ShardID]ident.Router {
		capacities := place.Capacities{}
		for _, r := range routers {
			own := Member{ID: r, Cores: 0.4}
			if r != self {
				own = decodeMember(EncodeMember(own))
			}
			capacities[r] = own.Cores
		}
		assigned := place.AssignBy(shards, routers, capacities)
		out := map[place.ShardID]ident.Router{}
		for _, id := range shards {
			out[id] = assigned.Home(id)
		}
		return out
	}
	for _, r := range routers[1:] {
		if diff := cmp.Diff(homes(routers[0]), homes(r)); diff != "" {
			t.Errorf("%s and %s disagree: %s", routers[0], r, diff)
		}
	}
}

// Suspect requests are sent as ages, so that clock differences do not matter. Crashes with missing
// fields are left out. The records of 32 requests in one message take at most 760 bytes.
func TestSuspectEncoding(t *testing.T) {
	senderNow, receiverNow := time.Unix(5000, 0), time.Unix(1000, 0)
	suspect := func(now time.Time) crash.Suspect {
		return crash.Suspect{
			Trait: crash.Request(1 << 60),
			Crashes: []crash.Crash{
				{Start: 1 << 31, At: now.Add(-time.Minute), Ran: 61 * time.Millisecond},
				{Start: 2, At: now.Add(-time.Second), Ran: 2 * time.Second},
			},
			Served: now.Add(-time.Hour),
		}
	}
	withoutCrashes := crash.Suspect{Trait: crash.Request(3)}
	wire := Encode(senderNow, Digest{Suspects: []crash.Suspect{suspect(senderNow), withoutCrashes}})
	got := Decode(receiverNow, wire).Suspects
	if diff := cmp.Diff([]crash.Suspect{suspect(receiverNow), withoutCrashes}, got); diff != "" {
		t.Error(diff)
	}
	wire.Suspects[0].RanMs = wire.Suspects[0].RanMs[:1]
	if got := Decode(receiverNow, wire).Suspects[0].Crashes; len(got) != 1 {
		t.Errorf("%d crashes decoded from two of which one is incomplete, want 1", len(got))
	}
	var list []crash.Suspect
	for i := range ident.Fingerprint(32) {
		list = append(list, crash.Suspect{Trait: crash.Request(i << 50), Crashes: []crash.Crash{{Start: 1 << 31, At: senderNow, Ran: time.Second}}})
	}
	if size := proto.Size(Encode(senderNow, Digest{Suspects: list})); size > 760 {
		t.Errorf("32 suspects take %d bytes", size)
	}
}

// Guards against parts of prompts that peers take for whole requests, and against trials that peers do not
// learn of. Routers that know no parts ignore their field.
func TestPartSuspectEncoding(t *testing.T) {
	senderNow, receiverNow := time.Unix(5000, 0), time.Unix(1000, 0)
	suspect := func(now time.Time) crash.Suspect {
		return crash.Suspect{
			Trait:   crash.Part(1 << 60),
			Crashes: []crash.Crash{{Start: 2, At: now.Add(-time.Second), Ran: 2 * time.Second}},
			Tried:   now.Add(-time.Minute),
		}
	}
	wire := Encode(senderNow, Digest{Suspects: []crash.Suspect{suspect(senderNow)}})
	if diff := cmp.Diff([]crash.Suspect{suspect(receiverNow)}, Decode(receiverNow, wire).Suspects); diff != "" {
		t.Error(diff)
	}
	if len(wire.GetSuspects()) != 0 {
		t.Error("a part is sent as a whole request")
	}
}
