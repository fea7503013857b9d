package place

import (
	"cmp"
	"slices"
	"time"

	"valescale/internal/plat/ident"
)

// Export lists chats of a leaving engine whose cached prompt prefixes are to be copied to another
// engine.
type Export struct {
	To   ident.TargetHash
	Keys []ident.ChatKey
}

// PlanExport plans the destinations of the most recent chats of an engine, up to limit, spread
// evenly over the shard's other usable engines.
func (h *Home) PlanExport(engine ident.TargetHash, limit int) []Export {
	var to []ident.TargetHash
	for i := range h.engines {
		if h.engines[i].usable() && h.engines[i].Hash != engine {
			to = append(to, h.engines[i].Hash)
		}
	}
	if len(to) == 0 {
		return nil
	}
	chats := h.chatsOf(engine)
	out := make([]Export, len(to))
	for i, t := range to {
		out[i].To = t
	}
	for n, c := range chats[:min(len(chats), limit)] {
		e := &out[n%len(out)]
		e.Keys = append(e.Keys, c.Key)
	}
	return slices.DeleteFunc(out, func(e Export) bool { return len(e.Keys) == 0 })
}

// chatsOf lists the chats whose last engine is the given one, most recent first.
func (h *Home) chatsOf(engine ident.TargetHash) []ChatPlace {
	var chats []ChatPlace
	for _, p := range h.lastPlaces() {
		if p.Engine == engine {
			chats = append(chats, p)
		}
	}
	slices.SortFunc(chats, func(a, b ChatPlace) int {
		return cmp.Or(cmp.Compare(b.SeenUnix, a.SeenUnix), cmp.Compare(a.Key, b.Key))
	})
	return chats
}

// RecordExport records that the prompt prefixes of chats were copied to an engine.
func (h *Home) RecordExport(now time.Time, e Export) {
	i, ok := h.index[e.To]
	if !ok {
		return
	}
	to := h.engines[i].run()
	for _, key := range e.Keys {
		at, _ := h.places.get(key)
		next := at.movedTo(to, now.Unix())
		h.places.put(key, next)
		h.recordPlace(key, next)
	}
}
