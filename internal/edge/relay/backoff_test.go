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
		"seconds":           {503, "3", 3 * time.Second},
		"a fraction":        {503, "0.25", 250 * time.Millisecond},
		"a date":            {503, "Thu, 03 Dec 2026 12:00:07 GMT", 7 * time.Second},
		"a past date":       {503, "Thu, 03 Dec 2026 11:59:00 GMT", 0},
		"too long":          {503, "1e300", maxBackoff},
		"infinite":          {503, "Inf", maxBackoff},
		"not a number":      {503, "NaN", 0},
		"negative":          {503, "-1", 0},
		"no header":         {503, "", 0},
		"not a duration":    {503, "soon", 0},
		"rejected request":  {429, "3", 0},
		"successful answer": {200, "3", 0},
		"redirect":          {307, "3", 0},
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
