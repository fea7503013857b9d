// Package engine is a client of the control interface of model engines: load reports with cache
// events, and fenced orders.
package engine
