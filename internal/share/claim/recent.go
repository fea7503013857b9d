package claim

import (
	"slices"
	"sync"
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// recentClaims holds the claims that this router wrote recently, to rewrite them if the store loses
// them.
type recentClaims struct {
	ttl            time.Duration
	maxAnswerBytes int
	clock          ident.Clock
	mu             sync.Mutex
	claims         map[ident.Attempt]*recentClaim
	// order lists the attempts by the time at which they claimed their key, oldest first.
	order []ident.Attempt
	// answerBytes is the total size of the answer bodies held.
	answerBytes int
}

// recentClaim is a claim as this router last wrote it.
type recentClaim struct {
	key    Key
	record Record
	// version is the last known version of the row.
	version table.Version
	at      time.Time
}

func newRecentClaims(ttl time.Duration, maxAnswerBytes int, clock ident.Clock) *recentClaims {
	return &recentClaims{ttl: ttl, maxAnswerBytes: maxAnswerBytes, clock: clock, claims: map[ident.Attempt]*recentClaim{}}
}

// add records a new claim.
func (r *recentClaims) add(key Key, record Record, version table.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evict()
	if _, found := r.claims[record.Attempt]; !found {
		r.order = append(r.order, record.Attempt)
	}
	r.claims[record.Attempt] = &recentClaim{key: key, record: record, version: version, at: r.clock()}
}

// setOutcome records the outcome of a claim and returns the version of its row.
func (r *recentClaims) setOutcome(ticket *Ticket, record Record) table.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, found := r.claims[record.Attempt]
	if !found {
		return ticket.Version
	}
	m.record = record
	r.limitAnswer(m)
	return m.version
}

// limitAnswer drops the answer of a claim if it exceeds the limit for all answers held. The claim
// is then kept as Sent, so that the request does not run again; only its answer cannot be replayed.
func (r *recentClaims) limitAnswer(m *recentClaim) {
	size := m.size()
	if r.answerBytes+size > r.maxAnswerBytes {
		m.record.State, m.record.Answer = Sent, nil
		return
	}
	r.answerBytes += size
}

// size returns the size of the answer body held, in bytes.
func (m *recentClaim) size() int {
	if m.record.Answer == nil {
		return 0
	}
	return len(m.record.Answer.Body)
}

// setVersion records the version of a claim's row in the current era.
func (r *recentClaims) setVersion(attempt ident.Attempt, version table.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, found := r.claims[attempt]; found {
		m.version = version
	}
}

// attempts returns the attempts whose claims are held.
func (r *recentClaims) attempts() []ident.Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evict()
	return slices.Clone(r.order)
}

// get returns the claim held for an attempt.
func (r *recentClaims) get(attempt ident.Attempt) (recentClaim, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, found := r.claims[attempt]
	if !found {
		return recentClaim{}, false
	}
	return *m, true
}

// evict removes claims older than any snapshot that the store can be restored from. Claims of
// requests that still run are kept up to maxRunTime, because losing them would allow the request to
// run again.
func (r *recentClaims) evict() {
	now := r.clock()
	kept := r.order[:0]
	for i, attempt := range r.order {
		m := r.claims[attempt]
		if now.Sub(m.at) <= r.ttl {
			kept = append(kept, r.order[i:]...)
			break
		}
		if m.record.State == Sent && now.Sub(m.at) <= maxRunTime {
			kept = append(kept, attempt)
			continue
		}
		r.answerBytes -= m.size()
		delete(r.claims, attempt)
	}
	r.order = kept
}

// maxRunTime limits how long a claim without a recorded outcome is kept. Requests run for minutes
// at most.
const maxRunTime = 10 * time.Minute
