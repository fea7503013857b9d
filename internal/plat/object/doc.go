// Package object is a thin client of the platform's object store.
package object
