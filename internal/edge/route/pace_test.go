package route_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/pace"
	"valescale/internal/rule/place"
)

// Reports reach the home once, with the next permit request. Measured times count only once a target
// has reported a pace: a deployment whose targets have their machines to themselves is served as
// without this.
func TestPacesAreReportedToHome(t *testing.T) {
	f, r, _ := newFleet()
	one := ident.Target("engine-1").Hash()
	r.ReportPace(pace.Report{Target: one, Took: 3 * time.Second, Expected: time.Second})
	acquire(t, r, 1).Release()
	if diff := cmp.Diff([]pace.Report(nil), f.paces); diff != "" {
		t.Errorf("reported without a target that reports its pace: %s", diff)
	}
	r.ReportPace(pace.Report{Target: one, Reported: 1.3})
	r.ReportPace(pace.Report{Target: one, Took: 3 * time.Second, Expected: time.Second})
	r.ReportPace(pace.Report{Target: ident.Target("unknown").Hash(), Reported: 1.3})
	f.now = f.now.Add(40 * time.Millisecond)
	acquire(t, r, 1).Release()
	acquire(t, r, 2).Release()
	want := []pace.Report{{Target: one, Reported: 1.3, Age: 40 * time.Millisecond, Took: 3 * time.Second, Expected: time.Second}}
	if diff := cmp.Diff(want, f.paces); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(pace.Pace(1.3), f.homes[routers[0]].Paces()[0].Pace); diff != "" {
		t.Errorf("pace at the home: %s", diff)
	}
}

// Failure: a target starts again under its name before its reports are sent. They are about the earlier
// process.
func TestPacesOfEarlierIncarnationAreDropped(t *testing.T) {
	f, r, assigned := newFleet()
	one := ident.Target("engine-1").Hash()
	r.ReportPace(pace.Report{Target: one, Reported: 3})
	p := f.pools[0]
	e, _ := p.Roster.Engine(one)
	e.Incarnation++
	p.Roster = p.Roster.With([]place.Engine{e}, nil)
	r.Set([]route.Pool{p}, assigned)
	acquire(t, r, 1).Release()
	if diff := cmp.Diff([]pace.Report(nil), f.paces); diff != "" {
		t.Error(diff)
	}
}

// Failure: no home can be reached. The router avoids the engine that it knows to be slow as long as
// another one is available.
func TestRouterWithoutHomeAvoidsSlowTarget(t *testing.T) {
	f, r, _ := newFleet()
	slow := ident.Target("engine-1").Hash()
	for range 4 {
		r.ReportPace(pace.Report{Target: slow, Reported: 3})
		r.ReportPace(pace.Report{Target: ident.Target("engine-2").Hash(), Reported: 1})
		f.now = f.now.Add(200 * time.Millisecond)
	}
	for _, router := range routers {
		f.down[router] = true
	}
	for key := range ident.ChatKey(3) {
		p := acquire(t, r, key+1)
		if p.Hash == slow {
			t.Errorf("request %d went to the slow engine", key)
		}
		p.Release()
	}
}

// The usual time of a request is sent only once a target has reported its pace: other deployments send
// the same permit requests as without this.
func TestEffortIsSentWithPaces(t *testing.T) {
	f, r, _ := newFleet()
	effort := pace.Effort{Make: time.Second}
	find := func() {
		p, err := r.Acquire(t.Context(), route.TargetRequest{Service: "judge", Key: 1, Work: ident.OneRequest, Deadline: f.now, Effort: effort})
		if err != nil {
			t.Fatal(err)
		}
		p.Release()
	}
	find()
	r.ReportPace(pace.Report{Target: ident.Target("engine-1").Hash(), Reported: 1})
	find()
	if diff := cmp.Diff([]pace.Effort{{}, effort}, f.efforts); diff != "" {
		t.Error(diff)
	}
}
