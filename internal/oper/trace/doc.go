// Package trace analyzes the JSON log lines of routers. It extracts the timeline of one
// request and the course of one stream over the requests of its caller, both across all routers, or summarizes the lost requests by cause, route, workspace,
// router, target and second.
//
// Memory use does not depend on the length of the logs: a timeline keeps a bounded number of
// log lines of its request, a stream of its requests, and a summary keeps counters for a bounded number of keys.
package trace
