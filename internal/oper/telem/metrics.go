package telem

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"valescale/internal/edge/front"
	"valescale/internal/rule/policy"
)

// Comparer receives each policy decision and compares it with that of a candidate policy.
type Comparer interface {
	Compare(w policy.Workspace, request *policy.Request, decision policy.Decision)
}

// Gauges contains the functions that are called when metrics are collected. A metric whose
// function is nil is not registered.
type Gauges struct {
	Revision            func() float64
	StoreUp             func() float64
	Ready               func() float64
	Routers             func() float64
	Permits             func() float64
	Waiting             func() float64
	SentBytes           func() float64
	ReceivedBytes       func() float64
	LoadRatio           func() float64
	QuarantinedRequests func() float64
	// QuarantinedParts returns the number of quarantined parts of prompts.
	QuarantinedParts   func() float64
	StoreCalls         func() float64
	FallbackPlacements func() float64
	PermitRequests     func() float64
}

// Metrics contains the metrics of a router.
type Metrics struct {
	registry     *prometheus.Registry
	requests     *prometheus.CounterVec
	waitTime     *prometheus.HistogramVec
	firstByte    *prometheus.HistogramVec
	warm         *prometheus.CounterVec
	retries      prometheus.Counter
	policyFaults prometheus.Counter
	comparer     Comparer
}

const (
	// minWaitBucketSeconds is the upper bound of the first bucket of the wait time.
	minWaitBucketSeconds = 0.0005
	// waitBucketCount is the number of buckets of the wait time. The last bound is 66 seconds.
	waitBucketCount = 18
	// firstByteBucketCount is the number of buckets of the time to the first byte. The last bound is
	// 33 seconds.
	firstByteBucketCount = 16
)

// New returns metrics that read the values of g. The comparer may be nil.
func New(comparer Comparer, g Gauges) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: newCounters("valescale_requests_total", "Requests by service, outcome and error code.", "service", "outcome", "code"),
		waitTime: newHistograms("valescale_wait_seconds", "Time until a target was found.",
			prometheus.ExponentialBuckets(minWaitBucketSeconds, bucketFactor, waitBucketCount)),
		firstByte: newHistograms("valescale_first_byte_seconds", "Time until the caller got the answer's first byte.",
			prometheus.ExponentialBuckets(minBucketSeconds, bucketFactor, firstByteBucketCount)),
		warm:         newCounters("valescale_placements_total", "Requests placed, by whether the chat ran there before.", "service", "warm"),
		retries:      prometheus.NewCounter(prometheus.CounterOpts{Name: "valescale_retries_total", Help: "Attempts after the first."}),
		policyFaults: prometheus.NewCounter(prometheus.CounterOpts{Name: "valescale_policy_faults_total", Help: "Decisions for which a policy's program failed and the strictest value was used."}),
		comparer:     comparer,
	}
	m.registry.MustRegister(m.requests, m.waitTime, m.firstByte, m.warm, m.retries, m.policyFaults)
	m.gauge("valescale_revision", "Configuration revision in force.", g.Revision)
	m.gauge("valescale_store_up", "Whether the latest call to the table service was answered.", g.StoreUp)
	m.gauge("valescale_ready", "Whether this router wants requests.", g.Ready)
	m.gauge("valescale_routers", "Live routers known.", g.Routers)
	m.gauge("valescale_permits", "Permits held by this router's homes.", g.Permits)
	m.gauge("valescale_waiting", "Requests waiting at this router's homes.", g.Waiting)
	m.gauge("valescale_held_requests", "Requests held back because targets end under them.", g.QuarantinedRequests)
	m.gauge("valescale_held_parts", "Parts of prompts held back because targets end under them.", g.QuarantinedParts)
	m.gauge("valescale_load_ratio", "Highest load over mean of the engines that this router is home of.", g.LoadRatio)
	m.counter("valescale_control_sent_bytes_total", "Bytes sent on control connections.", g.SentBytes)
	m.counter("valescale_control_received_bytes_total", "Bytes received on control connections.", g.ReceivedBytes)
	m.counter("valescale_store_calls_total", "Calls to the table service.", g.StoreCalls)
	m.counter("valescale_fallback_placements_total", "Placements made without the home.", g.FallbackPlacements)
	m.counter("valescale_permit_asks_total", "Requests for permits.", g.PermitRequests)
	return m
}

// gauge registers a gauge that is read from a function, if there is one.
func (m *Metrics) gauge(name, help string, read func() float64) {
	if read != nil {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
	}
}

// counter registers a counter that is read from a function, if there is one.
func (m *Metrics) counter(name, help string, read func() float64) {
	if read != nil {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
	}
}

// Finished updates the metrics with a request that has ended.
func (m *Metrics) Finished(f front.Finished) {
	service := string(f.Service)
	m.requests.WithLabelValues(service, string(f.Outcome), string(f.Code)).Inc()
	if f.Attempts > 1 {
		m.retries.Add(float64(f.Attempts - 1))
	}
	if f.WaitTime > 0 {
		m.waitTime.WithLabelValues(service).Observe(f.WaitTime.Seconds())
		warm := "no"
		if f.Warm {
			warm = "yes"
		}
		m.warm.WithLabelValues(service, warm).Inc()
	}
	if f.FirstByte > 0 {
		m.firstByte.WithLabelValues(service).Observe(f.FirstByte.Seconds())
	}
}

// Decided counts a decision if its policy failed, and passes it to the comparer.
func (m *Metrics) Decided(w policy.Workspace, request *policy.Request, decision policy.Decision) {
	if decision.Faulty {
		m.policyFaults.Inc()
	}
	if m.comparer != nil {
		m.comparer.Compare(w, request, decision)
	}
}

// Handler returns the HTTP handler of the metrics endpoint.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
