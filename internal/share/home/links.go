package home

import (
	"sync"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
)

// links keeps one link to each home.
type links struct {
	self    Edge
	clients Clients
	mu      sync.Mutex
	open    map[ident.Router]*link
}

func newLinks(self Edge, clients Clients) *links {
	return &links{self: self, clients: clients, open: map[ident.Router]*link{}}
}

// to returns the link to a home and opens it if necessary.
func (ls *links) to(home ident.Router) (*link, error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if l, ok := ls.open[home]; ok {
		return l, nil
	}
	client, err := ls.clients.Client(home)
	if err != nil {
		return nil, fault.New("home.link", Unreachable, err)
	}
	l := openLink(client, ls.self, func(closed *link) {
		ls.mu.Lock()
		defer ls.mu.Unlock()
		if ls.open[home] == closed {
			delete(ls.open, home)
		}
	})
	ls.open[home] = l
	return l, nil
}

// closeLink closes the link to a home that does not respond, so that the next request opens a new
// one.
func (ls *links) closeLink(home ident.Router) {
	ls.mu.Lock()
	l, ok := ls.open[home]
	delete(ls.open, home)
	ls.mu.Unlock()
	if ok {
		l.cancel()
	}
}

// close closes all links.
func (ls *links) close() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for home, l := range ls.open {
		delete(ls.open, home)
		l.cancel()
	}
}
