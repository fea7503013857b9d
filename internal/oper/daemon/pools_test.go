package daemon

import (
	"testing"

	"valescale/internal/plat/ident"
)

// An engine that fell silent while this router read its reports gets work from here again once another router
// reads them: it is given out there if it answers, and what is given out is held against what is known here.
func TestSilenceEndsWhenAnotherRouterReadsTheReports(t *testing.T) {
	r := newReports()
	for range silentAfter {
		r.missed("engine")
		r.missed("other")
	}
	before := r.version()
	if !r.watched(map[ident.Target]bool{"other": true}) || r.version() == before {
		t.Error("pools are not made anew")
	}
	if r.of("engine").silent() {
		t.Error("the engine is still silent here although another router reads its reports")
	}
	if !r.of("other").silent() {
		t.Error("the engine whose reports are read is no longer silent")
	}
	if r.watched(map[ident.Target]bool{"other": true}) {
		t.Error("pools are made anew although nothing has changed")
	}
}
