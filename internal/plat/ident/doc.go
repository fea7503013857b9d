// Package ident defines the identifiers, units and hashes that the other packages share.
package ident
