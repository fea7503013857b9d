package place

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/pace"
)

// Engine is one target in the membership view.
type Engine struct {
	ID   ident.Target
	Hash ident.TargetHash
	// Addr is the address to which requests are sent.
	Addr        string
	Zone        ident.Zone
	Incarnation ident.Incarnation
	// Version is the version of the engine's software, empty if it reports none.
	Version ident.Version
	// Slots is the work that the engine can run at once. Zero means no limit.
	Slots ident.Work
	// Joined is when this incarnation was first listed. Zero means no slow start.
	Joined time.Time
	// Leaving engines keep their permits and get no new ones.
	Leaving bool
	// Cold is the rate limit while the engine is cold.
	Cold Cold
}

// engineLoad is an engine with the work that is counted on it.
type engineLoad struct {
	Engine
	// own is the work of permits granted here, peerShare the work that other homes of this shard
	// published.
	own       ident.Work
	peerShare ident.Work
	present   bool
	// pacer limits the rate of requests while the engine is cold.
	pacer coldPacer
	// gauge estimates the engine's pace. The engine is expected to read prompts until readUntil.
	gauge     pace.Gauge
	readUntil time.Time
}

func (e *engineLoad) load() ident.Work { return e.own + e.peerShare }

func (e *engineLoad) usable() bool { return e.present && !e.Leaving }

// hasSlot reports whether a usable engine that the request does not avoid can run it at once.
func (e *engineLoad) hasSlot(req Request) bool {
	return e.usable() && req.accepts(&e.Engine) && (e.Slots <= 0 || e.load()+req.Work <= e.Slots || e.load() <= 0)
}
