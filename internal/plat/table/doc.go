// Package table is a client of the platform's transactional table service.
//
// A transaction is a list of checks on row versions and a list of writes, applied atomically. A row
// that does not exist has version zero. The response to a transaction can be lost after the
// transaction took effect: Commit then returns an error of kind Unknown, and the caller has to read
// the rows to find out whether they were written.
//
// The service may be restored from an older snapshot: the writes that it acknowledged since then
// are lost, and their versions are assigned again. Its responses contain an era, which increases by
// one with each such store rollback; Position orders versions across eras. Code that caches rows
// has to compare their eras too.
package table
