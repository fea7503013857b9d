package relay

import (
	"net/http"
	"testing"
	"time"
)

func TestBackoffOf(t *testing.T) {
	now := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	cases := map[string]struct {
		status int
		value  string
		want   time.Duration
	}{
		"seconds":         {503, "3", 3 * time.Second},
		"a fraction":      {503, "0.25", 250 * time.Millisecond},
		"a moment":        {503, "Thu, 03 Dec 2026 12:00:07 GMT", 7 * time.Second},
		"a moment gone":   {503, "Thu, 03 Dec 2026 11:59:00 GMT", 0},
		"for ever":        {503, "1e300", maxBackoff},
		"infinite":        {503, "Inf", maxBackoff},
		"no number":       {503, "NaN", 0},
		"negative":        {503, "-1", 0},
		"nothing":         {503, "", 0},
		"soon":            {503, "soon", 0},
		"of the request":  {429, "3", 0},
		"with an answer":  {200, "3", 0},
		"of its redirect": {307, "3", 0},
	}
	for name, c := range cases {
		h := http.Header{}
		if c.value != "" {
			h.Set("Retry-After", c.value)
		}
		if got := BackoffOf(c.status, h, now); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
