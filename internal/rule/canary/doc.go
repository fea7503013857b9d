// Package canary controls the rollout of another version of a service: it limits the share of
// requests that are sent to the canary, and judges the canary by its answers.
//
// It has no goroutines, locks or I/O. Callers pass the time.
package canary
