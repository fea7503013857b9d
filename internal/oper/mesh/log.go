package mesh

import (
	"time"

	"github.com/go-kit/log/level"

	"valescale/internal/edge/route"
	"valescale/internal/plat/ident"
	"valescale/internal/share/home"
	"valescale/internal/share/peer"
)

// watcher logs what the edge router observes of homes and targets, and reports leaving targets to
// peers.
type watcher struct{ mesh *Mesh }

// TargetReported implements route.Watcher.
func (w watcher) TargetReported(target route.Target, n route.Notice) {
	_ = level.Info(w.mesh.Logger).Log("msg", "target reported its state", "request", n.Request, "target", target.ID,
		"incarnation", target.Incarnation, "status", n.Status, "leaving", n.Leaving, "backoff_ms", n.Backoff.Milliseconds())
	if n.Leaving {
		w.mesh.MarkLeaving(target.ID, target.Incarnation)
	}
}

// HomeSkipped implements route.Watcher.
func (w watcher) HomeSkipped(home ident.Router, wait time.Duration) {
	_ = level.Info(w.mesh.Logger).Log("msg", "skipping unresponsive home", "home", home, "for_ms", wait.Milliseconds())
}

// Isolated implements route.Watcher.
func (w watcher) Isolated(cut bool) {
	if cut {
		_ = level.Warn(w.mesh.Logger).Log("msg", "dependency lost", "dependency", "homes")
		return
	}
	_ = level.Info(w.mesh.Logger).Log("msg", "dependency regained", "dependency", "homes")
}

// logState logs a change of another router's state or incarnation.
func (m *Mesh) logState(r peer.Member, before memberState) {
	_ = level.Info(m.Logger).Log("msg", "router", "id", r.ID, "state", r.State, "was", before.state,
		"incarnation", r.Incarnation, "seq", r.Seq, "zone", r.Zone)
}

// logCorrections logs how this router's homes corrected their permit counts.
func (m *Mesh) logCorrections() {
	for _, c := range m.Homes.Corrections() {
		m.logCorrection(c)
	}
}

func (m *Mesh) logCorrection(c home.Correction) {
	_ = level.Info(m.Logger).Log("msg", "permit counts corrected", "pool", c.Shard.Pool, "shard", c.Shard.Shard,
		"listed", c.Listed, "withdrawn", c.Withdrawn, "lapsed", c.Expired, "forgotten", c.Removed,
		"permits", c.Permits, "own", c.OwnWork.Requests(), "foreign", c.PeerWork.Requests(), "mean", c.MeanWork.Requests())
}
