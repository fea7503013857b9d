package telem

import "github.com/prometheus/client_golang/prometheus"

// newCounters returns a counter for each combination of label values.
func newCounters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// newHistograms returns a histogram of times for each service; buckets are their upper bounds in
// seconds.
func newHistograms(name, help string, buckets []float64) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, []string{"service"})
}
