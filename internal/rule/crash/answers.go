package crash

import "time"

// answerSlots is the number of slots for traits of requests with complete answers, 24 bytes each. At
// 40 requests per second with three traits each they hold the last 30 seconds, six times the period
// in which an answer exempts a trait from blame.
const answerSlots = 4096

// answers is a hash table of the traits of requests that were served recently. Traits with the same
// slot replace each other.
type answers [answerSlots]struct {
	trait Trait
	// at is in Unix nanoseconds.
	at int64
}

// record records that a request with the trait was served.
func (a *answers) record(now time.Time, t Trait) {
	slot := &a[t.Hash%answerSlots]
	slot.trait, slot.at = t, now.UnixNano()
}

// servedAt returns the time at which a request with the trait was served, or zero if it is not in
// the table.
func (a *answers) servedAt(t Trait) time.Time {
	slot := a[t.Hash%answerSlots]
	if slot.trait != t || slot.at == 0 {
		return time.Time{}
	}
	return time.Unix(0, slot.at)
}
