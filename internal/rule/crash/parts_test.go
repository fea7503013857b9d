package crash

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/ident"
)

// crashed records crashes under requests of their own with the given parts, one per second from the given time on,
// after which the target had run the request for a while.
func crashed(r *Record, from float64, starts []Start, ran time.Duration, parts ...ident.PartHash) {
	for i, start := range starts {
		r.Crashed(at(from+float64(i)), Traits(ident.Fingerprint(1000+uint64(start)), parts), start, ran)
	}
}

// Guards against parts that are blamed for targets which are terminated together: crashes at the same moment
// count once.
func TestTargetsThatCrashTogetherCountOnce(t *testing.T) {
	r := newRecord()
	for start := range Start(6) {
		r.Crashed(at(0.008*float64(start)), []Trait{Part(fatalPart)}, start, time.Second)
	}
	if q := r.Quarantine(at(1), []Trait{Part(fatalPart)}); q.Left != 0 {
		t.Errorf("after six crashes at once: %+v", q)
	}
	for _, seconds := range []float64{1, 2} {
		r.Crashed(at(seconds), []Trait{Part(fatalPart)}, Start(10*seconds), time.Second)
	}
	if q := r.Quarantine(at(2), []Trait{Part(fatalPart)}); q.Left == 0 {
		t.Error("not quarantined after two more crashes")
	}
}

// Guards against a crashing part that is taken for harmless because retries of one request with it explain its
// crashes.
func TestRequestDoesNotExplainItsPart(t *testing.T) {
	r := newRecord()
	for start := range Start(2) {
		r.Crashed(at(float64(start)), Traits(1, []ident.PartHash{fatalPart}), start, 60*time.Millisecond)
	}
	r.Crashed(at(2), Traits(2, []ident.PartHash{fatalPart}), 2, 90*time.Millisecond)
	if q := r.Quarantine(at(2), Traits(3, []ident.PartHash{fatalPart})); q.Trait != Part(fatalPart) {
		t.Errorf("a third request with the part: %+v", q)
	}
}

// Guards against harmless requests that are quarantined because they ran on targets which a quarantined part
// crashed, some time after its requests had been sent.
func TestQuarantinedPartExplainsCrashesOfRequests(t *testing.T) {
	r := newRecord()
	crashed(r, 0, []Start{1, 2, 3, 4, 5}, 1500*time.Millisecond, fatalPart)
	for _, start := range []Start{2, 4} {
		r.Crashed(at(float64(start)), harmlessRequest, start, 300*time.Millisecond)
	}
	if left := quarantineLeft(r, at(5), harmlessRequest); left != 0 {
		t.Errorf("a request that ran on two of the targets is quarantined for %v", left)
	}
}

// Guards against a shared part that stays quarantined because the crashing part of the same requests was seen at one
// more crash, before which its request ran longer. Routers that start have such records, from rows that were written
// at different times.
func TestPartOfMoreCrashesExplainsThoseOfAnother(t *testing.T) {
	r := newRecord()
	shared := groupPart(1)
	crashed(r, 0, []Start{1, 2, 3}, 60*time.Millisecond, shared, fatalPart)
	r.Crashed(at(3), []Trait{Part(fatalPart)}, 4, 400*time.Millisecond)
	got := []Trait{r.Quarantine(at(3), []Trait{Part(shared)}).Trait, r.Quarantine(at(3), []Trait{Part(shared), Part(fatalPart)}).Trait}
	if diff := cmp.Diff([]Trait{{}, Part(fatalPart)}, got); diff != "" {
		t.Errorf("quarantined: %s", diff)
	}
}

// Guards against a part that runs on many targets and is blamed because one of its requests there happened to be
// new: the longest run counts.
func TestLongestRunOnTargetCounts(t *testing.T) {
	r := newRecord()
	for i, start := range []Start{1, 2, 3} {
		r.Crashed(at(float64(i)), []Trait{Part(groupPart(1))}, start, 2*time.Millisecond)
		r.Crashed(at(float64(i)), []Trait{Part(groupPart(1))}, start, 900*time.Millisecond)
		r.Crashed(at(float64(i)), []Trait{Part(fatalPart)}, start, 60*time.Millisecond)
	}
	got := []Trait{r.Quarantine(at(3), []Trait{Part(groupPart(1))}).Trait, r.Quarantine(at(3), []Trait{Part(fatalPart)}).Trait}
	if diff := cmp.Diff([]Trait{{}, Part(fatalPart)}, got); diff != "" {
		t.Errorf("quarantined: %s", diff)
	}
}

// Guards against requests that were under way when the quarantine of their part began and make it ten minutes long
// at once. A part that comes again after an hour gets one trial; if that crashes a target, the quarantine is longer.
func TestQuarantineOfPartGrowsByTrials(t *testing.T) {
	r := newRecord()
	now := at(0)
	for start := range Start(6) {
		now = at(0.3 * float64(start))
		r.Crashed(now, []Trait{Part(fatalPart)}, start, time.Second)
	}
	got := []time.Duration{r.Quarantine(now, []Trait{Part(fatalPart)}).Left}
	now = now.Add(time.Hour)
	r.Sweep(now)
	request := Traits(1, []ident.PartHash{fatalPart})
	trial, _ := r.Admit(now, request)
	got = append(got, trial.Left, r.Quarantine(now, Traits(2, []ident.PartHash{fatalPart})).Left)
	r.Crashed(now, request, 100, time.Second)
	got = append(got, r.Quarantine(now, Traits(2, []ident.PartHash{fatalPart})).Left)
	want := []time.Duration{firstQuarantine, 0, trialTimeout, baseQuarantine}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("quarantine after six crashes, of the trial, beside it and after it: %s", diff)
	}
}

// Guards against two routers that send each other the same trial for ever: its age on the wire is not exact, so that
// it seems a little later each time.
func TestSameTrialIsNoChange(t *testing.T) {
	a, b := newRecord(), newRecord()
	crashed(a, 0, []Start{1, 2, 3}, 60*time.Millisecond, fatalPart)
	now := at(2).Add(firstQuarantine)
	a.Admit(now, []Trait{Part(fatalPart)})
	for _, s := range a.Outgoing(now, 2) {
		b.Merge(now, s)
	}
	s, _, _ := b.Find(Part(fatalPart))
	s.Tried = s.Tried.Add(3 * time.Millisecond)
	if urgency := a.Merge(now, s); urgency != Nothing {
		t.Errorf("the same trial is a change of urgency %d", urgency)
	}
}

// Guards against a quarantine that outlasts the answer which ends it: peers receive the answer at once.
func TestAnswerThatEndsQuarantineIsUrgent(t *testing.T) {
	r := newRecord()
	crashed(r, 0, []Start{1, 2, 3}, 60*time.Millisecond, fatalPart)
	if urgency := r.Served(at(3), []Trait{Part(fatalPart)}); urgency != Urgent {
		t.Errorf("urgency %d", urgency)
	}
}

// Guards against a part that crashes all targets at once, each time they are back: the crashes of one moment filled
// the list, so that no repetition was seen and the part was never quarantined.
func TestRepeatedCrashesOfAllTargets(t *testing.T) {
	r := newRecord()
	start := Start(0)
	for burst := range 3 {
		for i := range 18 {
			start++
			r.Crashed(at(4*float64(burst)+0.002*float64(i)), []Trait{Part(fatalPart)}, start, 60*time.Millisecond)
		}
	}
	if q := r.Quarantine(at(8.1), []Trait{Part(fatalPart)}); q.Left == 0 {
		t.Error("not quarantined after all targets crashed three times")
	}
}

// Guards against requests with a crashing part that reach one target after another after its quarantine, because each
// target rejects the trial for want of room, and against all routers beginning the next trial at the same moment.
func TestTrialThatShowsNothingIsRepeatedLate(t *testing.T) {
	r := NewRecord(func(Trait) int { return 3 })
	crashed(r, 0, []Start{1, 2, 3}, 60*time.Millisecond, fatalPart)
	request := Traits(1, []ident.PartHash{fatalPart})
	now := at(2).Add(r.Quarantine(at(2), request).Left)
	if q, _ := r.Admit(now, request); !q.Trial {
		t.Fatalf("after the quarantine: %+v", q)
	}
	r.Abandon(request)
	if diff := cmp.Diff(trialTimeout+3*trialInterval, r.Quarantine(now, request).Left); diff != "" {
		t.Errorf("time until the next trial: %s", diff)
	}
}
