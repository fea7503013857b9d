package match

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/retry"
)

// RouteName is the operators' name of a route.
type RouteName string

// Share is a service's part of a route's requests.
type Share struct {
	Service ident.Service
	// Weight is relative to the other shares of the route; a zero gets no requests.
	Weight int
}

// Route says where requests of one host and path prefix go, and under which terms.
type Route struct {
	Name RouteName
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Repeat says whether a request that may have run can be sent again.
	Repeat retry.Repeat
	// Stream routes answer with server-sent events.
	Stream bool
	// Resumable streams can go on at another target after a given event.
	Resumable bool
	// Timeout is the longest time from the request's arrival to the end of its answer.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event, that callers expect.
	Objective time.Duration
	// GapObjective is the pause between two events of a stream that callers expect at most.
	GapObjective time.Duration
	// Rank orders routes by urgency; zero is the most urgent.
	Rank int
	// Attempts is how many targets may work on one request.
	Attempts int
	// Public routes need no API key.
	Public bool
	// Sticky routes prefer the target that has a prompt's shared part cached.
	Sticky bool
	// Shares are the services that requests go to, one at least.
	Shares []Share
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name ident.Workspace
	Keys []string
	// Rank orders workspaces by urgency before the route's rank; zero is the most urgent.
	Rank int
}

// Service describes the targets of one service.
type Service struct {
	Name ident.Service
	// Engine services run language models and cache prompts.
	Engine bool
	// Conns is how many connections one target takes from all callers together; zero is
	// unknown.
	Conns int
	// Copies says that engines can take cached prompt parts from each other.
	Copies bool
	// ColdFor is how long a target is cold after it has started or its availability zone was
	// opened again; ColdRate is how many requests a second one bears meanwhile, zero if any.
	ColdFor  time.Duration
	ColdRate float64
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest request header and body, in bytes.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime is how long a caller may take to send a header.
	HeaderTime time.Duration
	// IdleTime is how long a caller's connection may stay without a request.
	IdleTime time.Duration
}

// Config is a configuration as operators wrote it.
type Config struct {
	Revision   ident.Revision
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// Keyed says that requests need an API key except on public routes.
	Keyed  bool
	Limits Limits
}
