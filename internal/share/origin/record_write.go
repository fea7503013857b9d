package origin

import (
	"context"
	"encoding/json"
	"maps"
	"slices"

	"github.com/go-kit/log/level"

	"valescale/internal/plat/ident"
	"valescale/internal/plat/table"
)

// recordChange is a write to the table of versions with the version of the row that it replaces.
type recordChange struct {
	put     table.Put
	replace table.Version
}

// recordChanges returns the writes that the table lacks.
func (o *Origins) recordChanges() []recordChange {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.knowsAll() {
		// Versions that this router does not know may be missing from the rows: only additions are certain.
		return o.serviceChanges(false)
	}
	changes := o.serviceChanges(true)
	if o.record.marker == 0 || o.record.markedEra != o.record.era {
		changes = append(changes, recordChange{table.Put{Table: VersionTable, Key: eraKey, Value: encode(eraRow{o.record.era})}, o.record.marker})
	}
	return changes
}

// serviceChanges returns the writes of services' rows that differ from what this router knows. The caller holds the lock.
func (o *Origins) serviceChanges(remove bool) []recordChange {
	var changes []recordChange
	for _, service := range o.recordedOrKnown() {
		row := o.record.services[service]
		versions := o.versions.toRecord(o.Clock(), service, row.versions, remove)
		if slices.Equal(versions, row.versions) && !row.damaged {
			continue
		}
		put := table.Put{Table: VersionTable, Key: table.Key(servicePrefix + string(service)), Value: encode(serviceRow{versions})}
		if len(versions) == 0 {
			put.Value, put.Delete = nil, true
		}
		changes = append(changes, recordChange{put, row.version})
	}
	return changes
}

// recordedOrKnown returns the services that have a row or a version, in order. The caller holds the lock.
func (o *Origins) recordedOrKnown() []ident.Service {
	services := slices.AppendSeq(slices.Collect(maps.Keys(o.record.services)), maps.Keys(o.versions.services))
	slices.Sort(services)
	return slices.Compact(services)
}

// encode encodes the value of a row.
func encode(value any) []byte {
	out, err := json.Marshal(value)
	if err != nil {
		// Strings and numbers can always be encoded.
		panic(err)
	}
	return out
}

// writeRecord writes what the table lacks, and reads it again. If another router was faster, nothing is written.
func (o *Origins) writeRecord(ctx context.Context) error {
	for part := range slices.Chunk(o.recordChanges(), maxServicesPerTxn) {
		var txn table.Txn
		for _, change := range part {
			txn.Checks = append(txn.Checks, table.Check{Table: VersionTable, Key: change.put.Key, Version: change.replace})
			txn.Puts = append(txn.Puts, change.put)
		}
		err := o.Store.Commit(ctx, txn)
		_ = level.Info(o.Logger).Log("msg", "writing versions of services", "rows", len(part), "first", part[0].put.Key,
			"value", string(part[0].put.Value), "row", part[0].replace, "err", err)
		if err != nil {
			break
		}
	}
	return o.readRecord(ctx)
}
