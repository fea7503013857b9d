package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Several routers that restart at random request as many retries as they can. In every
// interval of the window's length, the fleet as a whole must stay within the allowance.
func TestWindowsKeepFleetWithinAllowance(t *testing.T) {
	allowance := Allowance{Ratio: 0.2, Extra: 56, Span: 10 * time.Second}
	const routers = 8
	rng := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	windows := make([]*Window, routers)
	for i := range windows {
		windows[i] = NewWindow(start, allowance)
	}
	type event struct {
		at    time.Time
		retry bool
	}
	var events []event
	for tick := range 6000 {
		now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
		for i := range windows {
			if rng.IntN(4) == 0 {
				windows[i].Request(now)
				events = append(events, event{now, false})
			}
			if windows[i].Retry(now, routers) {
				events = append(events, event{now, true})
			}
			if rng.IntN(3000) == 0 {
				windows[i] = NewWindow(now, allowance)
			}
		}
	}
	from, requests, retries, maxExcess := 0, 0, 0, 0.0
	for _, e := range events {
		for events[from].at.Before(e.at.Add(-allowance.Span)) {
			if events[from].retry {
				retries--
			} else {
				requests--
			}
			from++
		}
		if e.retry {
			retries++
		} else {
			requests++
		}
		maxExcess = max(maxExcess, float64(retries)-allowance.Ratio*float64(requests))
	}
	if maxExcess > allowance.Extra {
		t.Errorf("%.1f retries above the ratio in one window, want at most %.0f", maxExcess, allowance.Extra)
	}
	if maxExcess < allowance.Extra/4 {
		t.Errorf("at most %.1f of %.0f extra retries are used in any window", maxExcess, allowance.Extra)
	}
}

// Guards against a share of the extra retries that is used twice across a restart: targets fail, all
// routers use their shares at once, restart a second later and go on failing.
func TestWindowsKeepFleetWithinAllowanceWhenAllRestart(t *testing.T) {
	allowance := Allowance{Ratio: 0.2, Extra: 56, Span: 10 * time.Second}
	const routers = 8
	start := time.Unix(1000, 0)
	fault := start.Add(30 * time.Second)
	restart := fault.Add(time.Second)
	windows := make([]*Window, routers)
	for i := range windows {
		windows[i] = NewWindow(start, allowance)
	}
	var retries []time.Time
	for now := fault; now.Before(fault.Add(30 * time.Second)); now = now.Add(10 * time.Millisecond) {
		for i := range windows {
			if now.Equal(restart) {
				windows[i] = NewWindow(now, allowance)
			}
			if windows[i].Retry(now, routers) {
				retries = append(retries, now)
			}
		}
	}
	from, maxRetries := 0, 0
	for i, at := range retries {
		for retries[from].Before(at.Add(-allowance.Span)) {
			from++
		}
		maxRetries = max(maxRetries, i+1-from)
	}
	if float64(maxRetries) > allowance.Extra {
		t.Errorf("%d extra retries in one window, want at most %.0f", maxRetries, allowance.Extra)
	}
}

func TestWindowExpiresOldSlots(t *testing.T) {
	allowance := Allowance{Ratio: 1, Extra: 0, Span: 10 * time.Second}
	now := time.Unix(1000, 0)
	w := NewWindow(now, allowance)
	for range 3 {
		w.Request(now)
	}
	for i := range 3 {
		if !w.Retry(now, 1) {
			t.Fatalf("retry %d of 3 is rejected", i+1)
		}
	}
	if w.Retry(now, 1) {
		t.Error("a fourth retry is permitted for three requests")
	}
	later := now.Add(time.Hour)
	w.Request(later)
	if !w.Retry(later, 1) {
		t.Error("a retry is rejected although all earlier ones have left the window")
	}
}
