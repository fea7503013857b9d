// Package target is a small stand-in for what valescale sends requests to: model
// engines with a prefix cache, late reports and resumable streams, and a plain
// service that counts how often each order ran.
package target
