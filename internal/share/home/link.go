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

// link is a stream to another router on which this router requests and releases permits. Separate
// calls would cost several times the bytes, because these messages are small compared to the HTTP
// overhead of a call.
type link struct {
	cancel context.CancelFunc
	out    chan linkItem
	done   chan struct{}
	mu     sync.Mutex
	// pending are the requests without a response, by permit.
	pending map[uint64]chan PermitResponse
	closed  bool
	// localFailure is set when the link failed because this router lacks a resource.
	localFailure bool
	// base is subtracted from permits when they are encoded and added when they are decoded.
	base uint64
	// missedResponses is the number of consecutive responses that did not arrive in time.
	missedResponses int
}

// linkItem is an item to send. Exactly one field is set.
type linkItem struct {
	place   *peerpb.PlaceRequest
	release *peerpb.ReleaseRequest
	load    *peerpb.ShardLoad
	origins []*peerpb.Origin
	// expected are origins of streams that have not begun yet.
	expected []*peerpb.Origin
	cancel   uint64
}

// addTo adds the item to a message.
func (i linkItem) addTo(message *peerpb.LinkRequest) {
	switch {
	case i.place != nil:
		message.Places = append(message.Places, i.place)
	case i.release != nil:
		message.Releases = append(message.Releases, i.release)
	case i.load != nil:
		message.Loads = append(message.Loads, i.load)
	case i.origins != nil:
		message.Origins = append(message.Origins, i.origins...)
	case i.expected != nil:
		message.ExpectedOrigins = append(message.ExpectedOrigins, i.expected...)
	default:
		message.Cancels = append(message.Cancels, i.cancel)
	}
}

const (
	// maxLinkQueue is the maximum number of items that wait to be sent. A link with more is
	// stalled.
	maxLinkQueue = 1024
	// maxLinkBatch is the maximum number of items in one message.
	maxLinkBatch = 64
)

// Edge identifies a router to the homes; it is sent once per link.
type Edge struct {
	ID   ident.Router
	Zone ident.Zone
	// Base is lower than all permits that this process will request.
	Base uint64
}

// openLink opens a link and calls ended once it has failed or been closed.
func openLink(client peerpb.PeerServiceClient, self Edge, ended func(*link)) *link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{
		cancel: cancel, out: make(chan linkItem, maxLinkQueue), done: make(chan struct{}),
		pending: map[uint64]chan PermitResponse{}, base: self.Base,
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

// send sends queued items, in batches of at most maxLinkBatch.
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
				// io.EOF means that the cause of the failure is returned by Receive; cancelling the
				// stream would hide it.
				if !errors.Is(err, io.EOF) {
					l.recordError(err)
					l.cancel()
				}
				return
			}
		}
	}
}

// fillBatch adds an item and those queued after it to a message.
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

// receive delivers responses until the stream ends.
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

// recordError records whether the link failed because this router lacks a resource.
func (l *link) recordError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.localFailure = l.localFailure || fault.IsLocalResourceError(err)
}

// closedError returns the error of requests on a closed link.
func (l *link) closedError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	kind := Unreachable
	if l.localFailure {
		kind = LocalDelay
	}
	return fault.New("home.Place", kind, nil)
}

// deliver passes a response to the pending request.
func (l *link) deliver(permit uint64, resp PermitResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missedResponses = 0
	if ch, ok := l.pending[permit]; ok {
		delete(l.pending, permit)
		ch <- resp
	}
}

// maxMissedResponses is the number of consecutive missing responses at which a link counts as dead.
const maxMissedResponses = 2

// recordMissed records a response that did not arrive in time and reports whether the link counts
// as dead.
func (l *link) recordMissed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missedResponses++
	return l.missedResponses >= maxMissedResponses
}

// failPending closes the link and fails all pending requests.
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

// enqueue queues an item and reports whether the queue had room.
func (l *link) enqueue(item linkItem) bool {
	select {
	case l.out <- item:
		return true
	default:
		return false
	}
}

// offsetPermits adds an offset to permits. A negative offset is passed as its two's complement.
func offsetPermits(permits []uint64, by uint64) []uint64 {
	out := make([]uint64, len(permits))
	for i, p := range permits {
		out[i] = p + by
	}
	return out
}

// release releases permits.
func (l *link) release(id place.ShardID, released []uint64) {
	l.enqueue(linkItem{release: &peerpb.ReleaseRequest{
		Pool: uint32(id.Pool.Hash()), Shard: uint32(id.Shard), Released: offsetPermits(released, -l.base),
	}})
}

// place requests a permit and waits for the response.
func (l *link) place(ctx context.Context, req PermitRequest, released []uint64) (PermitResponse, error) {
	const op = "home.Place"
	ch, open := l.register(req.Permit)
	if !open {
		return PermitResponse{}, l.closedError()
	}
	if !l.enqueue(linkItem{place: encodePermitRequest(req, released, l.base)}) {
		l.unregister(req.Permit)
		return PermitResponse{}, fault.New(op, Unreachable, nil)
	}
	select {
	case resp, ok := <-ch:
		if !ok {
			return PermitResponse{}, l.closedError()
		}
		return resp, nil
	case <-ctx.Done():
		l.unregister(req.Permit)
		l.enqueue(linkItem{cancel: req.Permit - l.base})
		return PermitResponse{}, fault.New(op, Unreachable, ctx.Err())
	}
}

// register registers a pending request and returns the channel of its response. It returns false if
// the link is closed.
func (l *link) register(permit uint64) (<-chan PermitResponse, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, false
	}
	ch := make(chan PermitResponse, 1)
	l.pending[permit] = ch
	return ch, true
}

// unregister removes a pending request.
func (l *link) unregister(permit uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, permit)
}
