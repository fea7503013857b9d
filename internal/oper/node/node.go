package node

import (
	"context"
	"net"
	"sync/atomic"

	"valescale/internal/edge/entry"
	"valescale/internal/edge/guard"
	"valescale/internal/edge/relay"
	"valescale/internal/edge/route"
	"valescale/internal/oper/mesh"
	"valescale/internal/oper/telem"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/share/feed"
	"valescale/internal/share/home"
	"valescale/internal/share/peer"
)

// Node is one router process.
type Node struct {
	Parts
	settings atomic.Pointer[Settings]
	// board holds copies of the store's tables, state what they say, roles from where
	// they are read.
	board *feed.Board
	state *state
	roles *feed.Roles
	// puller reads the tables from other routers.
	puller *feed.Puller
	// restored asks for rows to be written again that the store may have lost.
	storeRestored chan struct{}
	// ahead holds a router that told of a later configuration than any known.
	aheadPeer chan ident.Router
	self      peer.Member
	peers     *peer.Node
	// membersAt is the count of changes of routers up to which this router's role is found.
	roleMemberVersion atomic.Uint64
	homes             *home.Homes
	mesh              *mesh.Mesh
	router            *route.Router
	conns             *relay.Conns
	guard             *guard.Guard
	retryBudget       *retryBudget
	rollouts          *rollouts
	handler           *entry.Handler
	gate              *entry.Gate
	metrics           *telem.Routed
	// meter counts what goes to and from other routers.
	meter *peer.Meter
	// dead counts at how many readings of the routers' rows in a row a router was dead; only
	// the reading of rows uses it.
	deadReadings map[table.Key]int
	// introduced is closed once this router has written its row and read the others'.
	discovered chan struct{}
	// ready is set once configuration and targets are known, draining once this router
	// is to stop.
	ready    atomic.Bool
	draining atomic.Bool

	listeners listeners
	// cleanups free what New made, the latest first.
	cleanups []func()
}

// listeners are the open addresses of Settings.
type listeners struct {
	callers net.Listener
	ready   net.Listener
	peers   net.Listener
}

// New returns a router that listens but serves nobody until it runs, and the function
// that frees what it holds.
func New(settings Settings, parts Parts) (*Node, func(), error) {
	n := &Node{Parts: parts, meter: &peer.Meter{}, discovered: make(chan struct{}), aheadPeer: make(chan ident.Router, 1),
		storeRestored: make(chan struct{}, 1)}
	n.settings.Store(&settings)
	if err := n.listen(); err != nil {
		n.close()
		return nil, nil, err
	}
	n.build()
	return n, n.close, nil
}

// close frees what New made.
func (n *Node) close() {
	for i := len(n.cleanups) - 1; i >= 0; i-- {
		n.cleanups[i]()
	}
	n.cleanups = nil
}

// listening accepts connections without the kernel's keep-alive probes: four system calls
// less for each connection, of which callers that repeat at once make thousands. Time-outs
// of the servers and of the routers' own links find connections that have died.
var listenConfig = net.ListenConfig{KeepAlive: -1}

// listen opens the addresses.
func (n *Node) listen() error {
	s := n.settings.Load()
	for _, at := range []struct {
		addr string
		into *net.Listener
	}{
		{s.Callers, &n.listeners.callers},
		{s.Ready, &n.listeners.ready},
		{s.Peers, &n.listeners.peers},
	} {
		l, err := listenConfig.Listen(context.Background(), "tcp", at.addr)
		if err != nil {
			return fault.New("node.New", Listen, err)
		}
		n.cleanups = append(n.cleanups, func() { _ = l.Close() })
		*at.into = l
	}
	return nil
}

// CallerAddr is where callers connect.
func (n *Node) CallerAddr() string { return n.listeners.callers.Addr().String() }

// ReadyAddr is where the platform asks whether this router wants requests.
func (n *Node) ReadyAddr() string { return n.listeners.ready.Addr().String() }

// PeerAddr is where other routers connect and metrics are read.
func (n *Node) PeerAddr() string { return n.listeners.peers.Addr().String() }

// fleet is how many routers there may be.
func (n *Node) fleetSize() int { return len(n.mesh.Set().Known.Routers()) }
