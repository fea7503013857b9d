package canary

// Gate limits one router's requests to a canary to a share of its requests to the service. Because
// every router enforces the share for its own requests, the fleet stays within it without
// coordination, even when routers crash, start or are partitioned.
type Gate struct {
	share           float64
	total, toCanary int
}

// NewGate returns a gate that has counted no requests. The share is between zero and one.
func NewGate(share float64) Gate { return Gate{share: share} }

// Admits reports whether the next request may be sent to the canary.
func (g *Gate) Admits() bool { return float64(g.toCanary+1) <= g.share*float64(g.total+1) }

// RecordSent counts a request that has been sent to the service.
func (g *Gate) RecordSent(isCanary bool) {
	g.total++
	if isCanary {
		g.toCanary++
	}
}
