package match

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/retry"
)

// RouteName is the name that operators give a route.
type RouteName string

// Share is a service's share of a route's requests.
type Share struct {
	Service ident.Service
	// Weight is relative to the other shares of the route; a share of weight zero receives no
	// requests.
	Weight int
}

// Route defines the services and the limits of requests with a given host and path prefix.
type Route struct {
	Name RouteName
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Repeat defines whether a request that may have run can be sent again.
	Repeat retry.Repeat
	// Stream routes answer with server-sent events.
	Stream bool
	// Resumable streams can be continued by another target after a given event.
	Resumable bool
	// Timeout limits the time from the arrival of a request to the end of its answer.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event, that callers expect.
	Objective time.Duration
	// GapObjective is the maximum time between two events of a stream that callers expect.
	GapObjective time.Duration
	// Rank orders routes by urgency; zero is the most urgent.
	Rank int
	// Attempts is the maximum number of targets that one request is sent to.
	Attempts int
	// Public routes accept requests without an API key.
	Public bool
	// Sticky routes prefer the target that has the prompt prefix of a request cached.
	Sticky bool
	// Shares are the services that requests are sent to. There is at least one.
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
	// Conns is the number of connections that one target accepts from all clients together; zero
	// means that it is unknown.
	Conns int
	// CopiesPrefixes is set if engines can copy cached prompt prefixes from each other.
	CopiesPrefixes bool
	// ColdTime is the time for which a target is cold after its start or after its availability zone
	// was opened again. ColdRate is the number of requests per second that a cold target can
	// serve; zero means no limit.
	ColdTime time.Duration
	ColdRate float64
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of a request's header and body.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime is the maximum time for receiving a request's header.
	HeaderTime time.Duration
	// IdleTime is the maximum time for which a caller's connection may be idle.
	IdleTime time.Duration
}

// Config is a configuration as operators wrote it, before Compile.
type Config struct {
	Revision   ident.Revision
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// RequireKeys is set if requests need an API key, except on public routes.
	RequireKeys bool
	Limits      Limits
}
