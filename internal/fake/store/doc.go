// Package store is a small fake of the platform, in memory: its table service, object store and
// list of boxes, with the failures that these services can have.
package store
