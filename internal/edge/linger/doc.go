// Package linger answers callers that are still sending their requests. A connection that is closed with unread
// bytes is reset, and an answer that the caller has not read is lost with it.
package linger
