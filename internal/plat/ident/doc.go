// Package ident names the ids and units that the other packages share.
package ident
