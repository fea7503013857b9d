// Package canary decides how a service moves to another version of its software: how many requests may try that
// version while nobody knows whether it is sound, and what their answers say of it.
//
// It has no goroutines, locks or input and output; time is passed in.
package canary
