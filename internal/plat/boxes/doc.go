// Package boxes reads the platform's list of live and leaving boxes, which lags behind their actual
// state.
package boxes
