package main

import (
	"fmt"
)

// summary is the last line of the output.
type summary struct {
	Requests        int     `json:"requests"`
	CompleteAnswers int     `json:"complete_answers"`
	WrongAnswers    int     `json:"wrong_answers"`
	FalseNotRun     int     `json:"false_not_run"`
	Repeated        int     `json:"repeated"`
	CutOff          int     `json:"cut_off"`
	MaxLoadRatio    float64 `json:"max_load_ratio"`
	// MaxExcess is the maximum load of an engine above the bound, in requests.
	MaxExcess                float64 `json:"max_excess_requests"`
	CacheReuse               float64 `json:"cache_reuse"`
	ControlBytes             float64 `json:"control_bytes_per_router_second"`
	PolicyInForceMs          int64   `json:"policy_in_force_ms"`
	RequestsToLeaving        int     `json:"work_to_leaving_engine"`
	ToldNotRun               int     `json:"told_not_run"`
	ToldUnknown              int     `json:"told_unknown"`
	PermitRequestsPerRequest float64 `json:"permit_asks_per_request"`
}

const (
	// maxControlBytes is the maximum of control traffic of one router, in bytes per second.
	maxControlBytes = 5000
	// maxInForceMs is the maximum time until a change is in force on all routers, in milliseconds.
	maxInForceMs = 6000
)

// violations describes the guarantees that were violated.
func (s summary) violations() []string {
	var out []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	check(s.CompleteAnswers > 0, "no complete answer")
	check(s.WrongAnswers == 0, "%d wrong answers", s.WrongAnswers)
	check(s.FalseNotRun == 0, "%d requests were executed although their callers received a not-run outcome", s.FalseNotRun)
	check(s.Repeated == 0, "%d orders were executed more than once", s.Repeated)
	check(s.CutOff == 0, "%d answers were cut off by a graceful stop", s.CutOff)
	check(s.MaxExcess <= 1, "the load of an engine exceeded the bound by %.2f requests", s.MaxExcess)
	check(s.ControlBytes <= maxControlBytes, "control traffic of a router was %.0f bytes/s", s.ControlBytes)
	check(s.PolicyInForceMs <= maxInForceMs, "a policy was in force only after %d ms", s.PolicyInForceMs)
	check(s.RequestsToLeaving == 0, "a leaving engine got %d new requests", s.RequestsToLeaving)
	return out
}
