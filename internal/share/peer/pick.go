package peer

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"valescale/internal/plat/ident"
)

const (
	// nearNeighbours and farNeighbours are with how many routers of its own availability zone and of others a router
	// exchanges news. Each is chosen by about as many again. Over that many lasting connections news reaches
	// 1,000 routers in as many rounds as it does over a new connection to anyone for each exchange, of which a
	// router had hundreds after minutes.
	nearNeighbours = 10
	farNeighbours  = 6
	// lostOneIn is how seldom a router thought dead is tried instead of a neighbour.
	lostOneIn = 10
)

// Pick chooses routers to exchange news with at random: mostly neighbours, seldom one thought dead.
func (v *View) Pick(rng *rand.Rand, count int) []Member {
	if lost := v.lost(); len(lost) > 0 && rng.IntN(lostOneIn) == 0 {
		return []Member{v.members[lost[rng.IntN(len(lost))]].Member}
	}
	out := v.neighbours()
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(count, len(out))]
}

// lost lists the routers that are thought to be dead. They are tried now and then, since after a cut both
// sides think so of each other.
func (v *View) lost() []ident.Router {
	var out []ident.Router
	for _, id := range v.order() {
		if v.members[id].State == Dead {
			out = append(out, id)
		}
	}
	return out
}

// neighbours are the routers that are not thought dead and that a hash of both puts first: some of this router's
// availability zone, some of others. Who dies is followed by the next; the others stay.
func (v *View) neighbours() []Member {
	self := v.members[v.self]
	var near, far nearest
	for _, id := range v.order() {
		m := &v.members[id].Member
		switch {
		case id == v.self || m.State == Dead:
		case m.Zone == self.Zone:
			near.offer(m, ident.Mix(uint64(self.Hash()), uint64(m.Hash())), nearNeighbours+farNeighbours)
		default:
			far.offer(m, ident.Mix(uint64(self.Hash()), uint64(m.Hash())), nearNeighbours+farNeighbours)
		}
	}
	// Where one kind is short, more of the other make up for it.
	fromFar := min(len(far), max(farNeighbours, nearNeighbours+farNeighbours-len(near)))
	fromNear := min(len(near), nearNeighbours+farNeighbours-fromFar)
	var out []Member
	for _, r := range slices.Concat(near[:fromNear], far[:fromFar]) {
		out = append(out, *r.member)
	}
	return out
}

// nearest are the routers with the highest scores, the highest first.
type nearest []rated

// rated is a router with its score.
type rated struct {
	member *Member
	score  uint64
}

// offer puts a router in its place among the first so many.
func (n *nearest) offer(m *Member, score uint64, most int) {
	if len(*n) == most && score <= (*n)[most-1].score {
		return
	}
	at, _ := slices.BinarySearchFunc(*n, score, func(r rated, score uint64) int { return cmp.Compare(score, r.score) })
	*n = slices.Insert(*n, at, rated{member: m, score: score})
	*n = (*n)[:min(len(*n), most)]
}
