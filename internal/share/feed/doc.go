// Package feed keeps copies of tables of the platform's store and follows their changes.
//
// Rows carry versions of one counter that only grows, so that a copy can be brought
// forward from any source and never goes back. Reading gives no authority: what has to
// be decided once is decided by the store's conditions.
package feed
