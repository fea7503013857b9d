// Package decay computes exponential decay factors for counts and averages over time.
package decay
