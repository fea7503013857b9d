package crash

import (
	"time"

	"valescale/internal/plat/ident"
)

// answerSlots is the number of slots for requests with complete answers, 16 bytes each. At 40
// requests per second they hold the last 100 seconds, twenty times the period in which an
// answer exempts a request from blame.
const answerSlots = 4096

// answers is a hash table of the requests that were served recently. Requests with the same slot
// replace each other.
type answers [answerSlots]struct {
	request ident.Fingerprint
	// at is in Unix nanoseconds.
	at int64
}

// record records that a request was served.
func (a *answers) record(now time.Time, request ident.Fingerprint) {
	slot := &a[request%answerSlots]
	slot.request, slot.at = request, now.UnixNano()
}

// servedAt returns the time at which a request was served, or zero if it is not in the table.
func (a *answers) servedAt(request ident.Fingerprint) time.Time {
	slot := a[request%answerSlots]
	if slot.request != request || slot.at == 0 {
		return time.Time{}
	}
	return time.Unix(0, slot.at)
}
