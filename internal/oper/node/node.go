package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"valescale/internal/edge/entry"
	"valescale/internal/edge/guard"
	"valescale/internal/edge/reach"
	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/oper/mesh"
	"valescale/internal/oper/telem"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/memory"
	"valescale/internal/plat/table"
	"valescale/internal/share/feed"
	"valescale/internal/share/home"
	"valescale/internal/share/origin"
	"valescale/internal/share/peer"
)

// Node is one router process.
type Node struct {
	Parts
	settings atomic.Pointer[Settings]
	// replicas contains copies of the store's tables, state their decoded contents, and roles the
	// source that they are read from.
	replicas *feed.Replicas
	state    *state
	roles    *feed.Roles
	// puller reads the tables from peers.
	puller *feed.Puller
	// storeRestored signals a store rollback, after which rows that the store may have lost are
	// rewritten.
	storeRestored chan struct{}
	// aheadPeer receives a peer that reported a later configuration than any known one.
	aheadPeer chan ident.Router
	self      peer.Member
	peers     *peer.Node
	// roleMemberVersion is the version of the member list for which this router's role was
	// assigned.
	roleMemberVersion atomic.Uint64
	homes             *home.Homes
	mesh              *mesh.Mesh
	origins           *origin.Origins
	suspension        *suspension
	router            *route.Router
	dialer            *reach.Dialer
	tunnels           *reach.Server
	conns             *relay.Conns
	guard             *guard.Guard
	retryBudget       *retryBudget
	rollouts          *rollouts
	handler           *entry.Handler
	gate              *entry.Gate
	// memory is the account of what is kept for others.
	memory      *memory.Account
	callerConns *entry.CallerConns
	metrics     *telem.RouteMetrics
	// meter counts the bytes exchanged with peers.
	meter *peer.Meter
	// deadReadings counts for each router at how many consecutive reads of the routers' rows it was
	// dead. Only the reader of the rows uses it.
	deadReadings map[table.Key]int
	// discovered is closed once this router has written its row and read those of its peers.
	discovered chan struct{}
	// ready is set once configuration and targets are known, draining once this router is to stop.
	ready    atomic.Bool
	draining atomic.Bool

	listeners listeners
	// closed is closed when the router's resources are to be released, which waits until Run has ended.
	// Run holds running.
	closed  chan struct{}
	running sync.Mutex
	// cleanups release what New created, in reverse order.
	cleanups []func()
}

// listeners contains the open listeners for the addresses of Settings.
type listeners struct {
	callers net.Listener
	ready   net.Listener
	peers   net.Listener
}

// New returns a router that listens but does not serve until Run is called, and a function that
// releases its resources. If Run is under way, the function ends it first.
func New(settings Settings, parts Parts) (*Node, func(), error) {
	n := &Node{Parts: parts, meter: &peer.Meter{}, discovered: make(chan struct{}), aheadPeer: make(chan ident.Router, 1),
		storeRestored: make(chan struct{}, 1), closed: make(chan struct{})}
	n.settings.Store(&settings)
	if err := n.listen(); err != nil {
		n.close()
		return nil, nil, err
	}
	n.build()
	return n, n.close, nil
}

// close ends Run and releases what New created, which Run uses until it has ended. Only the first call does so.
func (n *Node) close() {
	if n.cleanups == nil {
		return
	}
	close(n.closed)
	n.running.Lock()
	defer n.running.Unlock()
	for i := len(n.cleanups) - 1; i >= 0; i-- {
		n.cleanups[i]()
	}
	n.cleanups = nil
}

// listenConfig disables the kernel's keep-alive probes. This saves four system calls per
// connection, of which callers that retry immediately open thousands. Timeouts of the servers and
// of the links between routers detect dead connections.
var listenConfig = net.ListenConfig{KeepAlive: -1}

// callerListenConfig is listenConfig for callers, with buffers of fixed size that accepted connections inherit.
var callerListenConfig = net.ListenConfig{KeepAlive: -1, Control: fixBuffers}

// listen opens the listeners.
func (n *Node) listen() error {
	s := n.settings.Load()
	for _, at := range []struct {
		addr   string
		config *net.ListenConfig
		into   *net.Listener
	}{
		{s.CallerAddr, &callerListenConfig, &n.listeners.callers},
		{s.ReadyAddr, &listenConfig, &n.listeners.ready},
		{s.PeerAddr, &listenConfig, &n.listeners.peers},
	} {
		l, err := at.config.Listen(context.Background(), "tcp", at.addr)
		if err != nil {
			return fault.New("node.New", Listen, err)
		}
		n.cleanups = append(n.cleanups, func() { _ = l.Close() })
		*at.into = l
	}
	return nil
}

// CallerAddr returns the address for callers.
func (n *Node) CallerAddr() string { return n.listeners.callers.Addr().String() }

// ReadyAddr returns the address of the platform's readiness check.
func (n *Node) ReadyAddr() string { return n.listeners.ready.Addr().String() }

// PeerAddr returns the address for peers and metrics.
func (n *Node) PeerAddr() string { return n.listeners.peers.Addr().String() }

// fleetSize returns the maximum number of routers that may serve requests, by which this router
// divides what the fleet shares.
func (n *Node) fleetSize() int { return n.mesh.Set().FleetSize }
