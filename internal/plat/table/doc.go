// Package table is a thin client of the platform's transactional table service.
//
// A transaction is a list of checks on row versions and a list of writes, applied
// all or none. A row that does not exist has version zero. The answer to a
// transaction can be lost after it took effect: Commit then returns kind
// Unknown, and the caller settles the question by reading what it wrote.
package table
