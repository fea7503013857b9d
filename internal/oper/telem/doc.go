// Package telem provides the metrics and the JSON logger of a router.
package telem
