package telem

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"valescale/internal/edge/entry"
)

// Routed holds the metrics of a router that serves by routes.
type Routed struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	sends    *prometheus.CounterVec
	found    *prometheus.HistogramVec
	first    *prometheus.HistogramVec
	whole    *prometheus.HistogramVec
}

// Reading is a named figure that is read when metrics are collected.
type Reading struct {
	Name string
	Help string
	// Counts says that the figure only grows.
	Counts bool
	// Read returns the figure as it is now.
	Read func() float64
}

// Flag is the value of a figure that says yes or no.
func Flag(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

const (
	// leastBucket is the first bound of the histograms of times, in seconds: less than a
	// round trip between availability zones.
	leastBucket = 0.001
	// bucketFactor is the ratio of two bounds that follow each other.
	bucketFactor = 2
	// buckets is the number of bounds; with these the last is 16 seconds.
	buckets = 15
)

// NewRouted returns metrics with some figures read from elsewhere.
func NewRouted(readings []Reading) *Routed {
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(leastBucket, bucketFactor, buckets),
		}, []string{"service"})
	}
	m := &Routed{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "valescale_routed_requests_total", Help: "Requests by service, reason of their end and status.",
		}, []string{"service", "reason", "status"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "valescale_routed_sends_total", Help: "Attempts that reached a target.",
		}, []string{"service"}),
		found: histogram("valescale_routed_found_seconds", "Time until a target was found."),
		first: histogram("valescale_routed_first_byte_seconds", "Time until the caller got the answer's first byte."),
		whole: histogram("valescale_routed_whole_seconds", "Time until the request's end."),
	}
	m.registry.MustRegister(m.requests, m.sends, m.found, m.first, m.whole)
	for _, r := range readings {
		m.registry.MustRegister(r.collector())
	}
	return m
}

// collector is the reading as the registry takes it.
func (r Reading) collector() prometheus.Collector {
	if r.Counts {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: r.Name, Help: r.Help}, r.Read)
	}
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: r.Name, Help: r.Help}, r.Read)
}

// Ended counts one request's end.
func (m *Routed) Ended(e entry.End) {
	service := string(e.Service)
	m.requests.WithLabelValues(service, string(e.Reason), strconv.Itoa(e.Status)).Inc()
	m.sends.WithLabelValues(service).Add(float64(e.Sends))
	if e.Found > 0 {
		m.found.WithLabelValues(service).Observe(e.Found.Seconds())
	}
	if e.First > 0 {
		m.first.WithLabelValues(service).Observe(e.First.Seconds())
	}
	m.whole.WithLabelValues(service).Observe(e.Whole.Seconds())
}

// Handler serves the metrics.
func (m *Routed) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
