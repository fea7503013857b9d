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

// freshFor is how old the store's word may be for a configuration to count as
// fresh: news over 1.4 s old is not taken from other routers, and comes each 0.4 s.
const maxConfigAge = 2 * time.Second

// Fresh reports whether the store confirmed the configuration a moment ago.
func (n *Node) Fresh() bool {
	age, known := n.board.Age(n.Rows.ConfigTable())
	return known && age <= maxConfigAge
}

// idleShare is the part of a target's connections that routers may keep idle; the rest is
// for those in use.
const idleConnRatio = 0.5

// IdleConns is this router's part of the idle connections that a target of a service may
// have from the whole fleet, one at least: a target resets connections beyond its most.
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
