package entry

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// callerPatience is how long a caller may take in nothing of what is written to it. Callers give up after
	// a pause of two seconds themselves; targets cut off what stays unread a few seconds longer.
	callerPatience = 5 * time.Second
	// mostUnread bounds what waits for one caller, in bytes: many times a stream of chat.
	mostUnread = 256 << 10
	// mostHeld bounds what waits for all callers of a box, in bytes, a tenth of the smallest boxes' memory.
	mostHeld = 16 << 20
)

// smallAnswer is what a connection's own buffers hold in any case, in bytes: nobody waits for it to be read.
const smallAnswer = 4 << 10

// writeWhole writes bytes to a caller, who may not read, and leaves the connection as it was.
func writeWhole(w http.ResponseWriter, b []byte) error {
	if len(b) < smallAnswer {
		_, err := w.Write(b)
		return err
	}
	control := http.NewResponseController(w)
	if err := push(control, w, b); err != nil {
		return err
	}
	return control.SetWriteDeadline(time.Time{})
}

// push writes bytes to a caller, who has a while to take them in.
func push(control *http.ResponseController, w http.ResponseWriter, b []byte) error {
	if err := control.SetWriteDeadline(time.Now().Add(callerPatience)); err != nil {
		return err
	}
	if _, err := w.Write(b); err != nil {
		return err
	}
	return control.Flush()
}

// outbox passes a stream on to a caller, who may read slowly or not at all. What a target has made waits here instead
// of there: a target cuts off answers that stay unread, and falls over when it holds too many. What waits is
// bounded for each caller and for all of a box together.
type outbox struct {
	to      http.ResponseWriter
	control *http.ResponseController
	// held is what waits in all outboxes of the box, in bytes.
	held *atomic.Int64

	mu      sync.Mutex
	waiting []byte
	// writing is set while a goroutine writes; written is signalled when it has written all.
	writing bool
	written *sync.Cond
	// failed is set once the caller takes nothing more.
	failed bool
}

// newOutbox returns an empty outbox, which must be closed before its caller's request ends.
func newOutbox(to http.ResponseWriter, held *atomic.Int64) *outbox {
	o := &outbox{to: to, control: http.NewResponseController(to), held: held}
	o.written = sync.NewCond(&o.mu)
	return o
}

// send puts bytes behind those that wait. It does not wait itself, and reports whether the caller is there and
// reads fast enough.
func (o *outbox) send(b []byte) (there, fast bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failed {
		return false, true
	}
	if len(o.waiting)+len(b) > mostUnread || o.held.Load()+int64(len(b)) > mostHeld {
		return true, false
	}
	o.held.Add(int64(len(b)))
	o.waiting = append(o.waiting, b...)
	if !o.writing {
		o.writing = true
		go o.write()
	}
	return true, true
}

// write writes what waits until nothing does.
func (o *outbox) write() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.waiting) > 0 && !o.failed {
		next := o.waiting
		o.waiting = nil
		o.mu.Unlock()
		err := push(o.control, o.to, next)
		o.held.Add(-int64(len(next)))
		o.mu.Lock()
		o.failed = o.failed || err != nil
	}
	o.writing = false
	o.written.Broadcast()
}

// finish waits until the caller has taken all, and reports whether it has.
func (o *outbox) finish() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for o.writing {
		o.written.Wait()
	}
	return !o.failed
}

// abandon gives up what still waits, and what is being written.
func (o *outbox) abandon() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failed = true
	// On a connection that has ended nothing is being written.
	_ = o.control.SetWriteDeadline(time.Now())
}

// close frees the outbox. The connection may serve other requests after it.
func (o *outbox) close() {
	o.finish()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.held.Add(-int64(len(o.waiting)))
	o.waiting = nil
	if !o.failed {
		// A connection that cannot be given its time back has ended.
		_ = o.control.SetWriteDeadline(time.Time{})
	}
}
