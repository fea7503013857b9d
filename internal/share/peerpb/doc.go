// Package peerpb holds the generated code of proto/peer.proto.
package peerpb
