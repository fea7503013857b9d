package home

import (
	"context"
	"io"
	"sync"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/place"
	"valescale/internal/share/peerpb"
)

// A link is one stream to another router, over which this router asks for permits
// and returns them. Calls of their own would cost several times the bytes: what a
// permit says is small, and what HTTP adds to each call is not.
type link struct {
	cancel context.CancelFunc
	out    chan linkItem
	done   chan struct{}
	mu     sync.Mutex
	// waiting are the requests without an answer, by permit.
	pending map[uint64]chan Answer
	closed  bool
	// lack is set when the link broke for what this box lacks.
	localFailure bool
	// base is taken off permits as they are written and added as they are read.
	base uint64
	// missed counts the answers in a row that did not come in time.
	missedResponses int
}

// linkItem is one thing to be sent; exactly one field is set.
type linkItem struct {
	place   *peerpb.PlaceRequest
	release *peerpb.ReleaseRequest
	load    *peerpb.ShardLoad
	cancel  uint64
}

// addTo puts the item into a message.
func (i linkItem) addTo(message *peerpb.LinkRequest) {
	switch {
	case i.place != nil:
		message.Places = append(message.Places, i.place)
	case i.release != nil:
		message.Releases = append(message.Releases, i.release)
	case i.load != nil:
		message.Loads = append(message.Loads, i.load)
	default:
		message.Cancels = append(message.Cancels, i.cancel)
	}
}

const (
	// linkBacklog bounds what waits to be sent; more than that means a dead link.
	maxLinkQueue = 1024
	// linkBatch bounds what one message carries.
	maxLinkBatch = 64
)

// Edge is what a router says of itself once on each link.
type Edge struct {
	ID   ident.Router
	Zone ident.Zone
	// Base is below all permits that this process will ask for.
	Base uint64
}

// openLink starts a link; ended is called once it has broken.
func openLink(client peerpb.PeerServiceClient, self Edge, ended func(*link)) *link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{
		cancel: cancel, out: make(chan linkItem, maxLinkQueue), done: make(chan struct{}),
		pending: map[uint64]chan Answer{}, base: self.Base,
	}
	stream := client.Link(ctx)
	go l.send(stream, self)
	go func() {
		l.receive(stream)
		cancel()
		l.failPending()
		ended(l)
	}()
	return l
}

// send writes what is queued, as much as fits in one message at a time.
func (l *link) send(stream *connect.BidiStreamForClient[peerpb.LinkRequest, peerpb.LinkReply], self Edge) {
	defer func() { _ = stream.CloseRequest() }()
	header := &peerpb.LinkRequest{Edge: string(self.ID), Base: self.Base, Zone: string(self.Zone)}
	for {
		select {
		case <-l.done:
			return
		case first := <-l.out:
			message := header
			header = &peerpb.LinkRequest{}
			l.fillBatch(message, first)
			if err := stream.Send(message); err != nil {
				// The end of the stream means that receiving tells the cause; to cancel would hide it.
				if !errors.Is(err, io.EOF) {
					l.recordError(err)
					l.cancel()
				}
				return
			}
		}
	}
}

// gather puts an item and those that are queued after it into one message.
func (l *link) fillBatch(message *peerpb.LinkRequest, item linkItem) {
	for n := 1; ; n++ {
		item.addTo(message)
		if n == maxLinkBatch {
			return
		}
		select {
		case item = <-l.out:
		default:
			return
		}
	}
}

// receive takes in answers until the stream ends.
func (l *link) receive(stream *connect.BidiStreamForClient[peerpb.LinkRequest, peerpb.LinkReply]) {
	for {
		reply, err := stream.Receive()
		if err != nil {
			l.recordError(err)
			return
		}
		for _, m := range reply.GetPlaces() {
			l.deliver(m.GetPermit()+l.base, decodePermitResponse(m))
		}
	}
}

// noteLack notes whether the link broke for what this box lacks.
func (l *link) recordError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.localFailure = l.localFailure || fault.OwnLack(err)
}

// broken is the error of requests on a link that has ended.
func (l *link) closedError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	kind := Unreachable
	if l.localFailure {
		kind = HeldUp
	}
	return fault.New("home.Place", kind, nil)
}

// deliver hands an answer to the request that waits for it.
func (l *link) deliver(permit uint64, resp Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missedResponses = 0
	if ch, ok := l.pending[permit]; ok {
		delete(l.pending, permit)
		ch <- resp
	}
}

// maxMissed is how many answers in a row may be missing before a link counts as dead.
const maxMissedResponses = 2

// miss notes an answer that did not come in time and reports whether the link is dead.
func (l *link) recordMissed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missedResponses++
	return l.missedResponses >= maxMissedResponses
}

// fail ends all that waits, since no answer will come.
func (l *link) failPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	close(l.done)
	for permit, ch := range l.pending {
		delete(l.pending, permit)
		close(ch)
	}
}

// post queues something and reports whether there was room.
func (l *link) enqueue(item linkItem) bool {
	select {
	case l.out <- item:
		return true
	default:
		return false
	}
}

// shift adds an offset to permits; a negative one is its two's complement.
func offsetPermits(permits []uint64, by uint64) []uint64 {
	out := make([]uint64, len(permits))
	for i, p := range permits {
		out[i] = p + by
	}
	return out
}

// release gives permits back.
func (l *link) release(id place.ShardID, released []uint64) {
	l.enqueue(linkItem{release: &peerpb.ReleaseRequest{
		Pool: uint32(id.Pool.Hash()), Shard: uint32(id.Shard), Released: offsetPermits(released, -l.base),
	}})
}

// place asks for a permit and waits for the answer.
func (l *link) place(ctx context.Context, req Ask, released []uint64) (Answer, error) {
	const op = "home.Place"
	ch, open := l.register(req.Permit)
	if !open {
		return Answer{}, l.closedError()
	}
	if !l.enqueue(linkItem{place: encodePermitRequest(req, released, l.base)}) {
		l.unregister(req.Permit)
		return Answer{}, fault.New(op, Unreachable, nil)
	}
	select {
	case resp, ok := <-ch:
		if !ok {
			return Answer{}, l.closedError()
		}
		return resp, nil
	case <-ctx.Done():
		l.unregister(req.Permit)
		l.enqueue(linkItem{cancel: req.Permit - l.base})
		return Answer{}, fault.New(op, Unreachable, ctx.Err())
	}
}

// expect notes that a request waits and returns where its answer comes; false means that
// the link has broken.
func (l *link) register(permit uint64) (<-chan Answer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, false
	}
	ch := make(chan Answer, 1)
	l.pending[permit] = ch
	return ch, true
}

// forget takes a request off those that wait.
func (l *link) unregister(permit uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, permit)
}
