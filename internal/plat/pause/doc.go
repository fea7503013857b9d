// Package pause provides a sleep that ends early when a context is done.
package pause
