// Package trace reads the JSON lines that routers log and tells what became of requests:
// one request's story across all routers, or how many requests were lost, by cause, kind
// of request, second, router and target.
//
// Memory is bounded by what is asked for, whatever the length of the logs: a story keeps
// its own lines, a summary counts.
package trace
