package feed

import (
	"slices"

	"valescale/internal/plat/table"
)

// mostSteps is how many changes of rows are remembered in order: several seconds' worth while half of 10,000 targets
// are replaced. Sixteen routers ask for them several times a second each.
const mostSteps = 2048

// steps are the latest changes of a copy, in the order in which they came, so that what changed a moment ago is told
// without a look at all rows.
type steps struct {
	list []step
	// open are the keys of the step that is being taken.
	open []table.Key
	// keys counts those of the list.
	keys int
}

// step is what a copy changed from one position to another.
type step struct {
	from, to table.Position
	keys     []table.Key
}

// note adds a row to the step that is being taken.
func (s *steps) note(key table.Key) { s.open = append(s.open, key) }

// end ends the step that is being taken.
func (s *steps) end(from, to table.Position) {
	if len(s.open) == 0 && len(s.list) > 0 {
		s.list[len(s.list)-1].to = to
		return
	}
	s.list = append(s.list, step{from: from, to: to, keys: s.open})
	s.keys += len(s.open)
	s.open = nil
	for s.keys > mostSteps {
		s.keys -= len(s.list[0].keys)
		s.list = s.list[1:]
	}
}

// forget drops all steps: the copy was replaced.
func (s *steps) forget() { *s = steps{} }

// since returns the rows that changed after a position, each once; known is false if some may be forgotten.
func (s *steps) since(at table.Position) (keys []table.Key, known bool) {
	if len(s.list) == 0 || at.Before(s.list[0].from) {
		return nil, false
	}
	for i := len(s.list) - 1; i >= 0 && at.Before(s.list[i].to); i-- {
		keys = append(keys, s.list[i].keys...)
	}
	slices.Sort(keys)
	return slices.Compact(keys), true
}
