// Package telem turns what a router does into metrics and JSON log lines.
package telem
