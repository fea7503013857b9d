package node

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"valescale/internal/edge/entry"
	"valescale/internal/plat/boxes"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
	"valescale/internal/rule/canary"
	"valescale/internal/rule/match"
	"valescale/internal/rule/retry"
	"valescale/internal/share/feed"
)

// Kind tells this package's errors apart.
type Kind string

const (
	// Listen means that an address cannot be listened on.
	Listen Kind = "listen"
	// BadRow means that a router's row of the store does not hold what it should.
	BadRow Kind = "bad_row"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Settings are a router's settings.
type Settings struct {
	ID     ident.Router
	Zone   ident.Zone
	Region ident.Region
	// Callers, Ready and Peers are the addresses for callers, for the question whether
	// this router wants requests, and for other routers and metrics.
	Callers string
	Ready   string
	Peers   string
	// ReadyPath is the path of that question.
	ReadyPath string
	// Seeds are addresses of other routers to try while none is known.
	Seeds []string
	// Retries is what the whole fleet may send again for each service.
	Retries retry.Allowance
	// Cores is how much processor time this box may use.
	Cores ident.Cores
	// First says that the whole fleet starts for the first time.
	First bool
	// Grace is the time from the signal to stop until the process is ended.
	Grace time.Duration
	// LoadFactor is the multiple of the mean load that no target may exceed.
	LoadFactor float64
	// TrialShare is the part of a service's requests that a version on trial may get; zero follows no orders to
	// move services to other versions.
	TrialShare float64
}

// Target is one target as it announces itself.
type Target struct {
	boxes.Box
	// Slots is how many requests it runs at once.
	Slots int
	// ColdLeft is how much longer it was cold when it said so first.
	ColdLeft time.Duration
	// Version is that of its software.
	Version ident.Version
}

// Store is what a router needs of the platform's store.
type Store interface {
	feed.Source
	// Commit applies a transaction.
	Commit(ctx context.Context, txn table.Txn) error
	// Calls is the number of calls made so far and how many of them failed.
	Calls() (made, failed uint64)
}

// Rows decodes what the platform writes into its store.
type Rows interface {
	// ConfigTable is the table that holds the configuration.
	ConfigTable() table.Name
	// TargetTable is the table in which targets announce themselves.
	TargetTable() table.Name
	// Config decodes the configuration; found is false while there is none.
	Config(rows []table.Row) (c match.Config, found bool, err error)
	// Revision is the revision of the configuration that a row holds, zero for a row that holds none.
	Revision(row table.Row) ident.Revision
	// ClosedZones are the availability zones whose targets are to get no new work, from the
	// rows of the configuration's table.
	ClosedZones(rows []table.Row) []ident.Zone
	// Orders are the operators' orders to move services to other versions, from the rows of the configuration's table.
	Orders(rows []table.Row) []canary.Order
	// StatusTable is the table in which the fleet says what became of them.
	StatusTable() table.Name
	// Status decodes what became of an order; found is false for a row that says nothing of any.
	Status(row table.Row) (s canary.Status, found bool)
	// PutStatus is the writing of what became of an order.
	PutStatus(s canary.Status) table.Put
	// Target decodes a target's row; one with an error names no target.
	Target(row table.Row) (Target, error)
}

// Parts are what a router works with.
type Parts struct {
	Dialect entry.Dialect
	Store   Store
	Rows    Rows
	Logger  log.Logger
	Clock   ident.Clock
	// Reload reads the settings again.
	Reload func() (Settings, error)
}
