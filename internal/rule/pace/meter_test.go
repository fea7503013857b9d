package pace

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestMeterMeasuresEventsOfStreams(t *testing.T) {
	m := NewMeter(func() time.Time { return start })
	stream := func(events int, making time.Duration) Finished {
		return Finished{Size: Size{Output: 100}, First: time.Second, Whole: time.Second + making, Events: events}
	}
	if _, expected := m.Add("s", "r", stream(11, time.Second)); expected != 0 {
		t.Errorf("first stream expected to take %v, want unknown", expected)
	}
	took, expected := m.Add("s", "r", stream(21, 6*time.Second))
	if diff := cmp.Diff([]time.Duration{6 * time.Second, 2 * time.Second}, []time.Duration{took, expected}); diff != "" {
		t.Error(diff)
	}
	if took, expected := m.Add("s", "r", stream(1, 0)); took != 0 || expected != 0 {
		t.Errorf("a stream of one event took %v of %v, want no measurement", took, expected)
	}
	// The answers made 300 expected tokens in 7 s.
	if got := m.Effort("s", "r", Size{Output: 30}).Make; got != 700*time.Millisecond {
		t.Errorf("30 tokens are expected to take %v, want 700ms", got)
	}
}

func TestMeterMeasuresWholeAnswers(t *testing.T) {
	m := NewMeter(func() time.Time { return start })
	m.Add("s", "r", Finished{First: 30 * time.Millisecond, Whole: 30 * time.Millisecond})
	took, expected := m.Add("s", "r", Finished{First: 90 * time.Millisecond, Whole: 90 * time.Millisecond})
	if diff := cmp.Diff([]time.Duration{90 * time.Millisecond, 30 * time.Millisecond}, []time.Duration{took, expected}); diff != "" {
		t.Error(diff)
	}
	if got := m.Effort("s", "r", Size{}).Make; got != 60*time.Millisecond {
		t.Errorf("an answer is expected to take %v, want the average of 60ms", got)
	}
}

// Prompts that waited for others must not raise the time to read a token: most of the first bytes of
// an empty fleet wait.
func TestReadTimeIgnoresWaits(t *testing.T) {
	m := NewMeter(func() time.Time { return start })
	const tokens = 1000
	for i := range 200 {
		first := 15 * time.Millisecond
		if i%2 == 0 {
			first = 400 * time.Millisecond
		}
		m.Add("s", "r", Finished{Size: Size{Own: tokens}, Cached: true, First: first, Whole: first, Events: 1})
		// How much of the prompt was read is not known here.
		m.Add("s", "r", Finished{Size: Size{Own: tokens, Prefix: tokens}, First: time.Second, Whole: time.Second, Events: 1})
	}
	got := m.Effort("s", "r", Size{Own: tokens, Prefix: 2 * tokens})
	if got.Read < 10*time.Millisecond || got.Read > 30*time.Millisecond || got.Prefix != 2*got.Read {
		t.Errorf("%d tokens are expected to take %v and twice as many %v, want about 15ms", tokens, got.Read, got.Prefix)
	}
}
