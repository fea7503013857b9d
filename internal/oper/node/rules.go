package node

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/match"
)

// Table returns the configuration in force, or nil until it and the first targets are known.
func (n *Node) Table() *match.Table {
	if !n.ready.Load() {
		return nil
	}
	return n.state.inForce.Load()
}

// maxConfigAge is the maximum time since the store's last confirmation for a configuration to count
// as fresh. Updates older than 1.4 s are not accepted from other routers, and updates arrive every
// 0.4 s.
const maxConfigAge = 2 * time.Second

// Fresh reports whether the store confirmed the configuration recently.
func (n *Node) Fresh() bool {
	age, known := n.replicas.Age(n.Rows.ConfigTable())
	return known && age <= maxConfigAge
}

// targetsCurrent reports whether the store has confirmed the targets' rows recently.
func (n *Node) targetsCurrent() bool {
	age, known := n.replicas.Age(n.Rows.TargetTable())
	return known && age <= maxConfigAge
}

// ConfirmedVersion returns the version in a target's row. It returns false if the rows were not confirmed since
// this process was last suspended.
func (n *Node) ConfirmedVersion(target ident.Target) (ident.Version, bool) {
	age, known := n.replicas.Age(n.Rows.TargetTable())
	return n.state.version(target), known && n.suspension.coversAge(age)
}

// idleConnRatio is the part of a target's connection limit that routers may keep idle. The rest is
// for connections in use.
const idleConnRatio = 0.5

// IdleConns returns this router's part of the idle connections that the whole fleet may keep to a
// target of a service, at least one. A target resets connections beyond its limit.
func (n *Node) IdleConns(service ident.Service) int {
	table := n.Table()
	if table == nil {
		return 0
	}
	maxConns := table.Service(service).Conns
	if maxConns <= 0 {
		return 0
	}
	return max(int(idleConnRatio*float64(maxConns))/max(n.fleetSize(), 1), 1)
}
