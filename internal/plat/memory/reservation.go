package memory

// Reservation is the memory that an account keeps for one purpose.
type Reservation struct {
	account *Account
	use     Use
	owner   Owner
	// size, refused and closed are guarded by the account's lock.
	size    Bytes
	refused bool
	closed  bool
}

// Grow takes more memory, and reports whether there was room.
func (r *Reservation) Grow(n Bytes) bool {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	if r.closed || !r.account.fits(r, n) {
		r.recordRefusal()
		return false
	}
	r.account.add(r, n)
	return true
}

// GrowTo takes as much memory as the reservation lacks of a size, and reports whether there was room.
func (r *Reservation) GrowTo(size Bytes) bool {
	// Only the owner of a reservation changes its size, so it can be read without the lock.
	return size <= r.size || r.Grow(size-r.size)
}

// CanGrow reports whether there is room for more memory, and counts a refusal if there is none. It takes none.
func (r *Reservation) CanGrow(n Bytes) bool {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	if r.account.fits(r, n) {
		return true
	}
	r.recordRefusal()
	return false
}

// recordRefusal records that there was no room. The caller holds the lock of the account.
func (r *Reservation) recordRefusal() {
	r.refused = true
	r.account.refused[r.use]++
}

// Add takes memory that is in use already, whether or not there is room.
func (r *Reservation) Add(n Bytes) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	if !r.closed {
		r.account.add(r, n)
	}
}

// Shrink returns a part of the memory.
func (r *Reservation) Shrink(n Bytes) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	if !r.closed {
		r.account.add(r, -min(n, r.size))
	}
}

// Close returns all of the memory. Further calls change nothing.
func (r *Reservation) Close() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.closed = true
	if !r.refused {
		r.account.recordReleased(r.size)
	}
	r.account.add(r, -r.size)
}
