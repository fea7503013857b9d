// Package store is a small stand-in for the platform: its table service, object
// store and list of boxes, in memory, with the failures that the brief names.
package store
