// Package object is a client of the platform's object store.
package object
