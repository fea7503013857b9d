// Package feed replicates tables of the platform's store and follows their changes.
//
// Row versions come from one counter of the store, which only decreases when the store is restored
// from an older snapshot; the era then grows. Positions are ordered by era and then by version, so
// that a replica can be updated from any source and never moves backwards. Rows that a replica has
// seen superseded are overridden when a restored store returns them again, and ranked rows, such as
// the configuration, never go back to a lower rank whatever the store returns. Replicas are
// read-only and give no authority: decisions that must be made exactly once use the store's
// conditional writes.
package feed
