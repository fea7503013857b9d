// Package relay makes one attempt at one target: it sends the request, reads the
// answer or the stream, and says how far the attempt got, from which follows
// whether the request may have run.
//
// An answer counts as whole only with its framing complete: an announced length
// that was reached, a closed chunked body, or a stream's end mark. A connection
// with anything unread is closed, never used again.
package relay
