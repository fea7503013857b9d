package memory

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
)

// testClock returns a fixed time.
func testClock() time.Time { return time.Unix(1000, 0) }

// Checks that any series of reservations that grow, shrink, are refused and are closed in any order, some twice, stays within
// the limit and leaves nothing behind: what is not returned would be missing for ever.
func TestAccountIsEmptyAfterAnySeries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000 * KB
		a := New(limit, testClock)
		var reservations []*Reservation
		sizes := rapid.Int64Range(0, int64(400*KB))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(reservations) == 0 || rapid.Bool().Draw(t, "open") {
				owner := Owner{Workspace: ident.Workspace(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "workspace")), Rank: rapid.IntRange(-1, 20).Draw(t, "rank")}
				reservations = append(reservations, a.Open(rapid.SampledFrom(Uses).Draw(t, "use"), owner))
			}
			h := rapid.SampledFrom(reservations).Draw(t, "reserved")
			n := Bytes(sizes.Draw(t, "size"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				h.Grow(n)
			case 2:
				h.GrowTo(n)
			case 3:
				h.Shrink(n)
			case 4:
				h.Close()
			}
			if used := a.Usage().Used; used < 0 || used > limit {
				t.Fatalf("%d bytes used of %d", used, limit)
			}
		}
		for _, h := range reservations {
			h.Close()
			h.Close()
		}
		usage := a.Usage()
		if diff := cmp.Diff([useCount]Bytes{}, usage.ByUse); diff != "" || usage.Used != 0 || len(a.byWorkspace) != 0 {
			t.Fatalf("%d bytes left, by workspace %v: %s", usage.Used, a.byWorkspace, diff)
		}
	})
}

// fill grows reservations of the given size in turn until one is refused, and returns the memory that they have.
func fill(a *Account, owner Owner, size Bytes) Bytes {
	total := Bytes(0)
	for a.Open(Bodies, owner).Grow(size) {
		total += size
	}
	return total
}

// Checks that neither large requests, nor those of one workspace, nor less urgent ones take the room of the others.
func TestOthersFindRoomBesideLargeRequests(t *testing.T) {
	const limit = 100 * MB
	a := New(limit, testClock)
	got := fill(a, Owner{Workspace: "large"}, 4*MB)
	if got < limit/2 || got > limit*4/5 {
		t.Errorf("large requests of one workspace take %d MB of %d, want more than half and at most four fifths", got/MB, limit/MB)
	}
	if !a.Open(Bodies, Owner{Workspace: "large"}).Grow(24 * KB) {
		t.Error("a small request of the same workspace has no room")
	}
	if got := fill(a, Owner{Workspace: "other"}, 24*KB); got < 15*MB {
		t.Errorf("small requests of another workspace have %d kB, want more", got/KB)
	}
}

// Checks that urgent requests find room when less urgent ones have taken all that they can.
func TestUrgentRequestsFindRoom(t *testing.T) {
	a := New(100*MB, testClock)
	fill(a, Owner{Workspace: "a", Rank: 8}, 24*KB)
	fill(a, Owner{Workspace: "b", Rank: 8}, 24*KB)
	if got := fill(a, Owner{Workspace: "c"}, 24*KB); got < 5*MB {
		t.Errorf("urgent requests have %d kB beside less urgent ones, want more", got/KB)
	}
}

// Checks that a single request may use half of the account of a small box, and that a larger one is known to be too
// large.
func TestOneLargeRequestHasRoomInASmallBox(t *testing.T) {
	const limit = 10 * MB
	b := NewBuffer(New(limit, testClock).Open(Bodies, Owner{Workspace: "w", Rank: lastRank}))
	if err := b.Read(bytes.NewReader(make([]byte, 4*MB)), -1, int64(limit)); err != nil || b.AtMaximum() {
		t.Errorf("4 MB of 10: %v, too large %t", err, b.AtMaximum())
	}
	b.Close()
	b = NewBuffer(New(limit, testClock).Open(Bodies, Owner{Workspace: "w"}))
	err := b.Read(bytes.NewReader(make([]byte, 6*MB)), -1, int64(limit))
	if fault.KindOf[Kind](err) != Full || !b.AtMaximum() {
		t.Errorf("6 MB of 10: %v, too large %t", err, b.AtMaximum())
	}
}

// Checks the data and the memory of buffers for lengths around the sizes of segments.
func TestBufferKeepsDataAsItArrives(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, 4095, 4096, 4097, 24_000, 65_536, 65_537, 300_000} {
		for _, length := range []int64{int64(size), -1} {
			for name, wrap := range map[string]func(io.Reader) io.Reader{"at once": func(r io.Reader) io.Reader { return r }, "slowly": iotest.HalfReader, "end with data": iotest.DataErrReader} {
				a := New(10*MB, testClock)
				b := NewBuffer(a.Open(Bodies, Owner{}))
				data := strings.Repeat("0123456789", size/10+1)[:size]
				if err := b.Read(wrap(strings.NewReader(data)), length, 1<<20); err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(b.Reader())
				if err != nil || string(got) != data || b.Len() != int64(size) {
					t.Errorf("%d bytes, length %d, %s: got %d, %v", size, length, name, len(got), err)
				}
				if used := a.Usage().Used; used < Bytes(size) || used > 2*Bytes(size)+firstSegmentSize+segmentSize {
					t.Errorf("%d bytes, length %d, %s: %d bytes counted", size, length, name, used)
				}
				b.Close()
				if used := a.Usage().Used; used != 0 {
					t.Errorf("%d bytes counted after the end", used)
				}
			}
		}
	}
}

// Checks that the limit follows the box, less what the process needs for the fleet.
func TestLimitFollowsTheBox(t *testing.T) {
	got := map[string]Bytes{}
	for name, c := range map[string]struct {
		box     Bytes
		members int
	}{"64": {64 * MB, 0}, "160": {160 * MB, 400}, "256": {256 * MB, 30}, "284": {284 * MB, 30}, "284 in a large fleet": {284 * MB, 4000}} {
		got[name] = LimitOf(c.box, c.members) / MB
	}
	want := map[string]Bytes{"64": 18, "160": 64, "256": 114, "284": 128, "284 in a large fleet": 107}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Checks that the rate of released memory, by which callers are sent away, leaves out what was refused.
func TestReleasedRateLeavesOutRefusals(t *testing.T) {
	now := testClock()
	a := New(10*MB, func() time.Time { return now })
	for _, size := range []Bytes{MB, 20 * MB} {
		h := a.Open(Bodies, Owner{})
		h.Grow(MB)
		h.Grow(size - MB)
		h.Close()
	}
	if got := a.releasedPerSecond(); got < float64(MB)/2 || got > float64(MB) {
		t.Errorf("%.0f bytes a second, want those of the first reservation only", got)
	}
}
