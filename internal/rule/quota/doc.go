// Package quota enforces the request rates of workspaces and queues requests fairly.
//
// A workspace's rate is a token bucket at the workspace's home, which grants tokens to the
// edge routers. Requests that wait for an engine are held in a fair queue: turns alternate
// between the order by priority and the order of workspaces by weight (start-time fair
// queueing). The package reads no clock; callers pass the time.
package quota
