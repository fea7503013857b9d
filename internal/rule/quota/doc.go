// Package quota keeps workspaces within their rates and lets them wait fairly.
//
// A workspace's rate is a token bucket at the workspace's home, which hands out
// grants of tokens to the edges. Requests that wait for an engine stand in a
// queue that serves priorities in order and, within one, workspaces by weight
// (start-time fair queueing). The package is told the time.
package quota
