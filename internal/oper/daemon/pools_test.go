package daemon

import (
	"testing"

	"valescale/internal/plat/ident"
)

// An engine that became unresponsive while this router read its reports must get work from here
// again once another router reads them: that router grants permits for the engine if it answers,
// and this router checks each granted permit against its own state.
func TestUnresponsiveEngineIsResetWhenAnotherRouterReadsItsReports(t *testing.T) {
	r := newEngineReports()
	for range maxMissedReports {
		r.missed("engine")
		r.missed("other")
	}
	before := r.version()
	if !r.resetUnread(map[ident.Target]bool{"other": true}) || r.version() == before {
		t.Error("version unchanged, want the pools to be rebuilt")
	}
	if r.get("engine").unresponsive() {
		t.Error("the engine is still unresponsive although another router reads its reports")
	}
	if !r.get("other").unresponsive() {
		t.Error("the engine whose reports are read here is no longer unresponsive")
	}
	if r.resetUnread(map[ident.Target]bool{"other": true}) {
		t.Error("the pools are rebuilt although nothing has changed")
	}
}
