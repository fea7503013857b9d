package node

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log"

	"valescale/internal/edge/entry"
	"valescale/internal/plat/boxes"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/plat/memory"
	"valescale/internal/plat/table"
	"valescale/internal/rule/canary"
	"valescale/internal/rule/match"
	"valescale/internal/rule/retry"
	"valescale/internal/share/feed"
)

// Kind identifies the kind of this package's errors.
type Kind string

const (
	// Listen is the kind of error when an address cannot be listened on.
	Listen Kind = "listen"
	// BadRow is the kind of error when a router's row in the store, or rows from a peer, cannot be
	// decoded.
	BadRow Kind = "bad_row"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Settings contains a router's settings.
type Settings struct {
	ID     ident.Router
	Zone   ident.Zone
	Region ident.Region
	// CallerAddr, ReadyAddr and PeerAddr are the listen addresses for callers, for the readiness
	// check, and for peers and metrics.
	CallerAddr string
	ReadyAddr  string
	PeerAddr   string
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// Seeds contains addresses of other routers to contact while no peer is known.
	Seeds []string
	// SourceIP is the address that connections to targets are made from; nil leaves it to the kernel.
	SourceIP net.IP
	// RetryAllowance is the retry allowance of the whole fleet for each service.
	RetryAllowance retry.Allowance
	// Cores is the processor time that this box may use.
	Cores ident.Cores
	// Memory is the memory of this box.
	Memory memory.Bytes
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
	// GracePeriod is the time from the stop signal until the process is killed.
	GracePeriod time.Duration
	// LoadFactor is the maximum load of a target as a multiple of the mean.
	LoadFactor float64
	// MaxCanaryRatio is the maximum ratio of a service's requests that a canary version may receive. If
	// it is zero, rollouts are not followed.
	MaxCanaryRatio float64
}

// Target is a target as it announces itself.
type Target struct {
	boxes.Box
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// RemainingColdTime is the remaining cold time when the target first reported it.
	RemainingColdTime time.Duration
	// Version is the version of the target's software.
	Version ident.Version
}

// Store is the part of the platform's store that a router uses.
type Store interface {
	feed.Source
	// Range reads the rows of a table from a key up to another one, which is excluded.
	Range(ctx context.Context, name table.Name, from, to table.Key) (table.Page, error)
	// Commit applies a transaction.
	Commit(ctx context.Context, txn table.Txn) error
	// Calls returns the number of calls made so far and how many of them failed.
	Calls() (made, failed uint64)
}

// Rows decodes the rows that the platform writes to its store.
type Rows interface {
	// ConfigTable returns the table that contains the configuration.
	ConfigTable() table.Name
	// TargetTable returns the table in which targets announce themselves.
	TargetTable() table.Name
	// Config decodes the configuration. The result found is false if there is none.
	Config(rows []table.Row) (c match.Config, found bool, err error)
	// Revision returns the revision of the configuration that a row contains, or zero for a row
	// that contains none.
	Revision(row table.Row) ident.Revision
	// ClosedZones returns the availability zones whose targets receive no new work, from the rows
	// of the configuration's table.
	ClosedZones(rows []table.Row) []ident.Zone
	// Rollouts returns the operators' rollouts of services to other versions, from the rows of the
	// configuration's table.
	Rollouts(rows []table.Row) []canary.Order
	// StatusTable returns the table in which the fleet records the status of rollouts.
	StatusTable() table.Name
	// Status decodes the status of a rollout. The result found is false for a row that contains
	// none.
	Status(row table.Row) (s canary.Status, found bool)
	// PutStatus returns the write of a rollout's status.
	PutStatus(s canary.Status) table.Put
	// Target decodes a target's row. A row with an error is no valid target.
	Target(row table.Row) (Target, error)
}

// Parts contains the dependencies of a router.
type Parts struct {
	Dialect entry.Dialect
	Store   Store
	Rows    Rows
	Logger  log.Logger
	Clock   ident.Clock
	// Reload reads the settings again.
	Reload func() (Settings, error)
}
