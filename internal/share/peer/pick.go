package peer

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"valescale/internal/plat/ident"
)

const (
	// nearPeers and farPeers are the numbers of routers in the router's own availability zone and
	// in other zones that it exchanges digests with; each router is selected by about as many
	// again. Over these persistent connections updates reach 1,000 routers in as many rounds as
	// with a random peer for each exchange, which opens hundreds of connections per router within
	// minutes.
	nearPeers = 10
	farPeers  = 6
	// deadPickInterval is the mean number of picks per attempt to reach a dead router.
	deadPickInterval = 10
)

// Pick selects random routers to exchange digests with: usually gossip peers, occasionally one dead
// router.
func (v *View) Pick(rng *rand.Rand, count int) []Member {
	if deadRouters := v.deadRouters(); len(deadRouters) > 0 && rng.IntN(deadPickInterval) == 0 {
		return []Member{v.members[deadRouters[rng.IntN(len(deadRouters))]].Member}
	}
	out := v.gossipPeers()
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(count, len(out))]
}

// deadRouters returns the routers in state Dead. They are tried occasionally, since after a network
// partition each side considers the other dead.
func (v *View) deadRouters() []ident.Router {
	var out []ident.Router
	for _, id := range v.memberIDs() {
		if v.members[id].State == Dead {
			out = append(out, id)
		}
	}
	return out
}

// gossipPeers returns the routers that are not dead and have the highest rendezvous hash with this
// router: some in its availability zone, some in other zones. A router that dies is replaced by the
// next one; the other peers remain selected.
func (v *View) gossipPeers() []Member {
	self := v.members[v.self]
	var near, far topScored
	for _, id := range v.memberIDs() {
		m := &v.members[id].Member
		switch {
		case id == v.self || m.State == Dead:
		case m.Zone == self.Zone:
			near.add(m, ident.Mix(uint64(self.Hash()), uint64(m.Hash())), nearPeers+farPeers)
		default:
			far.add(m, ident.Mix(uint64(self.Hash()), uint64(m.Hash())), nearPeers+farPeers)
		}
	}
	// If there are too few routers of one kind, more of the other kind are selected.
	farCount := min(len(far), max(farPeers, nearPeers+farPeers-len(near)))
	nearCount := min(len(near), nearPeers+farPeers-farCount)
	var out []Member
	for _, r := range slices.Concat(near[:nearCount], far[:farCount]) {
		out = append(out, *r.member)
	}
	return out
}

// Rank returns the number of live routers with a higher rendezvous score for a hash than this router.
func (v *View) Rank(hash uint64) int {
	self := v.members[v.self]
	own, rank := ident.Mix(hash, uint64(self.Hash())), 0
	for id, m := range v.members {
		if id != v.self && m.State == Live && ident.Mix(hash, uint64(m.Hash())) > own {
			rank++
		}
	}
	return rank
}

// topScored contains the routers with the highest scores, in descending order.
type topScored []scoredMember

// scoredMember is a router with its rendezvous score.
type scoredMember struct {
	member *Member
	score  uint64
}

// add inserts a router by its score and truncates the list to the limit.
func (n *topScored) add(m *Member, score uint64, limit int) {
	if len(*n) == limit && score <= (*n)[limit-1].score {
		return
	}
	at, _ := slices.BinarySearchFunc(*n, score, func(r scoredMember, score uint64) int { return cmp.Compare(score, r.score) })
	*n = slices.Insert(*n, at, scoredMember{member: m, score: score})
	*n = (*n)[:min(len(*n), limit)]
}
