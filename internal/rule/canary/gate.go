package canary

// Gate keeps a router's requests to a version on trial to a share of all that it sends to the service. Each router
// does so for itself: their sum keeps to the share too, whoever is killed, starts or is cut off, without a message.
type Gate struct {
	share      float64
	all, tried int
}

// NewGate returns a gate that has let nothing through; the share is between zero and one.
func NewGate(share float64) Gate { return Gate{share: share} }

// Admits reports whether the next request may go to the version on trial.
func (g *Gate) Admits() bool { return float64(g.tried+1) <= g.share*float64(g.all+1) }

// Sent notes a request that has been sent.
func (g *Gate) Sent(onTrial bool) {
	g.all++
	if onTrial {
		g.tried++
	}
}
