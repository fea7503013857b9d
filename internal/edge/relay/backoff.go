package relay

import (
	"net/http"
	"strconv"
	"time"
)

// maxBackoff limits the accepted backoff of a target, so that a wrong value, such as one in
// milliseconds, does not remove the target from service until it restarts.
const maxBackoff = 10 * time.Minute

// BackoffOf returns how long a target accepts no more requests from this router according to its
// Retry-After header, or zero. Only a 503 describes the target; other rejections are about the
// request.
func BackoffOf(status int, h http.Header, now time.Time) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	value := h.Get("Retry-After")
	// Fractions of a second are not in the standard, but some targets send them.
	if seconds, err := strconv.ParseFloat(value, 64); err == nil {
		return clampBackoff(seconds)
	}
	if until, err := http.ParseTime(value); err == nil {
		return clampBackoff(until.Sub(now).Seconds())
	}
	return 0
}

// clampBackoff returns a backoff of the given seconds within its limit. Values that are not
// positive numbers give zero.
func clampBackoff(seconds float64) time.Duration {
	if !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxBackoff.Seconds()) * float64(time.Second))
}
