package telem

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"valescale/internal/edge/entry"
	"valescale/internal/plat/ident"
)

// RouteMetrics contains the metrics of a router that serves requests by routes.
type RouteMetrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	sends     *prometheus.CounterVec
	findTime  *prometheus.HistogramVec
	firstByte *prometheus.HistogramVec
	duration  *prometheus.HistogramVec
	timely    *prometheus.CounterVec
	rules     *prometheus.CounterVec
	endings   *prometheus.CounterVec
}

// FuncMetric is a metric whose value is read from a function when metrics are collected.
type FuncMetric struct {
	Name string
	Help string
	// IsCounter is true for a counter and false for a gauge.
	IsCounter bool
	// Read returns the current value.
	Read func() float64
}

// LabeledReading is one value of a metric with labels.
type LabeledReading struct {
	Labels []string
	Value  float64
}

// LabeledMetric is a metric with labels whose values are read from a function when metrics are
// collected.
type LabeledMetric struct {
	Name   string
	Help   string
	Labels []string
	// IsCounter is true for counters and false for gauges.
	IsCounter bool
	// Read returns the current values.
	Read func() []LabeledReading
}

// labeledCollector collects a LabeledMetric.
type labeledCollector struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	read func() []LabeledReading
}

// Describe implements prometheus.Collector.
func (c labeledCollector) Describe(out chan<- *prometheus.Desc) { out <- c.desc }

// Collect implements prometheus.Collector.
func (c labeledCollector) Collect(out chan<- prometheus.Metric) {
	for _, r := range c.read() {
		out <- prometheus.MustNewConstMetric(c.desc, c.kind, r.Value, r.Labels...)
	}
}

// Add adds a metric with labels.
func (m *RouteMetrics) Add(l LabeledMetric) {
	kind := prometheus.GaugeValue
	if l.IsCounter {
		kind = prometheus.CounterValue
	}
	m.registry.MustRegister(labeledCollector{kind: kind, desc: prometheus.NewDesc(l.Name, l.Help, l.Labels, nil), read: l.Read})
}

// BoolValue returns 1 for true and 0 for false.
func BoolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

const (
	// minBucketSeconds is the upper bound of the first bucket of the latency histograms: less than
	// a round trip between availability zones.
	minBucketSeconds = 0.001
	// bucketFactor is the ratio between the bounds of consecutive buckets.
	bucketFactor = 2
	// bucketCount is the number of buckets of a latency histogram. The last bound is 16 seconds.
	bucketCount = 15
)

// NewRouteMetrics returns the metrics, including those that are read from functions.
func NewRouteMetrics(readings []FuncMetric) *RouteMetrics {
	buckets := prometheus.ExponentialBuckets(minBucketSeconds, bucketFactor, bucketCount)
	m := &RouteMetrics{
		registry:  prometheus.NewRegistry(),
		requests:  newCounters("valescale_routed_requests_total", "Requests by service, reason of their end and status.", "service", "reason", "status"),
		sends:     newCounters("valescale_routed_sends_total", "Attempts that reached a target.", "service"),
		findTime:  newHistograms("valescale_routed_found_seconds", "Time until a target was found.", buckets),
		firstByte: newHistograms("valescale_routed_first_byte_seconds", "Time until the caller got the answer's first byte.", buckets),
		duration:  newHistograms("valescale_routed_whole_seconds", "Time until the request's end.", buckets),
		timely: newCounters("valescale_routed_answers_total", "Complete answers by service and whether they met the objectives of their route.",
			"service", "timely"),
		rules:   newCounters("valescale_routed_placements_total", "Placed requests by service and the rule that selected the target.", "service", "rule"),
		endings: newCounters("valescale_routed_endings_total", "Answers of targets by service and how they ended.", "service", "ending"),
	}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registry.MustRegister(m.endings, m.requests, m.sends, m.findTime, m.firstByte, m.duration, m.timely, m.rules)
	for _, r := range readings {
		m.registry.MustRegister(r.collector())
	}
	return m
}

// collector returns the Prometheus collector of the reading.
func (r FuncMetric) collector() prometheus.Collector {
	if r.IsCounter {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: r.Name, Help: r.Help}, r.Read)
	}
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: r.Name, Help: r.Help}, r.Read)
}

// Ended updates the metrics with a request that has ended.
func (m *RouteMetrics) Ended(e entry.End) {
	service := string(e.Service)
	m.requests.WithLabelValues(service, string(e.Reason), strconv.Itoa(e.Status)).Inc()
	m.sends.WithLabelValues(service).Add(float64(e.Sends))
	if e.Found > 0 {
		m.findTime.WithLabelValues(service).Observe(e.Found.Seconds())
	}
	if e.First > 0 {
		m.firstByte.WithLabelValues(service).Observe(e.First.Seconds())
	}
	m.duration.WithLabelValues(service).Observe(e.Total.Seconds())
	if e.Rule != 0 {
		m.rules.WithLabelValues(service, e.Rule.String()).Inc()
	}
	if e.Reason == entry.Served {
		m.timely.WithLabelValues(service, strconv.FormatBool(e.Timely)).Inc()
	}
}

// AnswerEnded counts an answer of a target.
func (m *RouteMetrics) AnswerEnded(service ident.Service, ending entry.Ending) {
	m.endings.WithLabelValues(string(service), string(ending)).Inc()
}

// Handler returns the HTTP handler of the metrics endpoint.
func (m *RouteMetrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
