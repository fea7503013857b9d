// Package boxes reads the platform's lagging list of live and leaving boxes.
package boxes
