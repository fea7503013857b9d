// Package engine is a thin client of what model engines offer beside answers:
// load reports with cache events, and fenced orders.
package engine
