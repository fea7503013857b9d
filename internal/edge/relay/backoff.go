package relay

import (
	"net/http"
	"strconv"
	"time"
)

// maxBackoff bounds for how long a target is believed that it wants nothing: a slip of its, in
// milliseconds say, must not cost the service a target until that starts anew.
const maxBackoff = 10 * time.Minute

// BackoffOf is for how long a target wants no more requests from this router, as it said when it turned
// one away; zero if it did not say. Only a 503 speaks of the target, other refusals of the request.
func BackoffOf(status int, h http.Header, now time.Time) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	value := h.Get("Retry-After")
	// A fraction of a second goes beyond the standard, but some targets tell one.
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		return clampBackoff(seconds)
	}
	if until, err := http.ParseTime(value); err == nil {
		return clampBackoff(until.Sub(now).Seconds())
	}
	return 0
}

// backoffFor is a backoff of some seconds within its bounds; what is no number is none.
func clampBackoff(seconds float64) time.Duration {
	if !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxBackoff.Seconds()) * float64(time.Second))
}
