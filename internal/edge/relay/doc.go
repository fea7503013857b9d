// Package relay makes one attempt at one target. It sends the request, reads the answer or the
// stream, and reports how far the attempt got, which determines whether the request may have run.
//
// An answer is complete only if its framing is: an announced length that was reached, a terminated
// chunked body, or the end mark of a stream. A connection with unread bytes is closed and never
// reused.
package relay
