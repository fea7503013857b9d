// Package listen serves a test's connections one by one, byte by byte.
package listen
