// Package target contains small fakes of the targets that valescale sends requests to: model
// engines with a prefix cache, delayed eviction reports and resumable streams, and a plain service
// that counts how often each order ran.
package target
