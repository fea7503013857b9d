// Package listen provides TCP listeners for tests that control individual connections and their
// bytes.
package listen
