package match

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
)

// Table is a compiled configuration.
type Table struct {
	Revision ident.Revision
	Limits   Limits
	// keyed is set if requests need an API key, except on public routes.
	keyed  bool
	routes map[routeKey]*Route
	keys   map[string]*Workspace
	// services are the services of the configuration by name.
	services map[ident.Service]Service
}

// routeKey is the key of a route in the table.
type routeKey struct {
	host   string
	prefix string
}

// Compile validates a configuration and builds a table. Of two routes with the same host and
// prefix the later one is used, as with other documents of the same key.
func Compile(c Config) (*Table, error) {
	t := &Table{
		Revision: c.Revision,
		Limits:   c.Limits,
		keyed:    c.RequireKeys,
		routes:   make(map[routeKey]*Route, len(c.Routes)),
		keys:     map[string]*Workspace{},
		services: make(map[ident.Service]Service, len(c.Services)),
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(); err != nil {
			return nil, err
		}
		t.routes[routeKey{strings.ToLower(r.Host), r.Prefix}] = r
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, key := range w.Keys {
			t.keys[key] = w
		}
	}
	return t, nil
}

// validate returns an error if the prefix is not enclosed in slashes or the route has no service.
func (r *Route) validate() error {
	const op = "match.Compile"
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fault.Newf(op, Invalid, "route %s: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Shares) == 0 {
		return fault.Newf(op, Invalid, "route %s: has no service", r.Name)
	}
	return nil
}

// Route returns the route with the host and the longest prefix of the path.
func (t *Table) Route(host, path string) (*Route, error) {
	host = strings.ToLower(host)
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		if r, ok := t.routes[routeKey{host, path[:slash+1]}]; ok {
			return r, nil
		}
		end = slash
	}
	return nil, fault.Newf("match.Route", NoRoute, "%s%s", host, path)
}

// Workspace returns the workspace of an API key. For other keys it returns an empty workspace if
// the route is public or the configuration requires no keys, and an error otherwise.
func (t *Table) Workspace(r *Route, key string) (*Workspace, error) {
	if w, ok := t.keys[key]; ok && key != "" {
		return w, nil
	}
	if r.Public || !t.keyed {
		return &Workspace{}, nil
	}
	return nil, fault.New("match.Workspace", NoWorkspace, nil)
}

// Service returns the description of a service, or the zero value if there is none.
func (t *Table) Service(name ident.Service) Service { return t.services[name] }

// Routes returns the number of routes.
func (t *Table) Routes() int { return len(t.routes) }

// SendsTo reports whether requests of the route may be sent to a service.
func (r *Route) SendsTo(service ident.Service) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service })
}

// ServiceOf selects the service of a request by the weights of the route's shares. A key is
// assigned to the same service until a weight changes, and then the minimum number of keys is
// reassigned.
func (r *Route) ServiceOf(key ident.ChatKey) ident.Service {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	var best ident.Service
	lowest := math.Inf(1)
	for _, s := range r.Shares {
		if s.Weight <= 0 {
			continue
		}
		// Weighted rendezvous hashing: the share with the smallest exponential variate is selected.
		hash := ident.Mix(uint64(key), xxhash.Sum64String(string(s.Service)))
		score := -math.Log(ident.Unit(hash)) / float64(s.Weight)
		if score < lowest {
			lowest, best = score, s.Service
		}
	}
	if best == "" {
		return r.Shares[0].Service
	}
	return best
}
