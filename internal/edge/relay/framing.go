package relay

import "net/http"

// BodyFraming is how the end of an answer's body is marked.
type BodyFraming string

const (
	// NoBody is the framing of an answer that has no body, whatever its headers say.
	NoBody BodyFraming = "no_body"
	// Length marks the end by the number of bytes.
	Length BodyFraming = "length"
	// Chunks marks the end by a last chunk, or by the framing of HTTP/2.
	Chunks BodyFraming = "chunks"
	// Unmarked means that the body ends with the connection. Its end looks the same whether it is complete
	// or the target's process ended.
	Unmarked BodyFraming = "unmarked"
)

// Marked reports whether the end of the body can be distinguished from a closed connection.
func (f BodyFraming) Marked() bool { return f != Unmarked }

// framingOf returns the framing of an answer to a request with the given method.
func framingOf(resp *http.Response, method string) BodyFraming {
	switch {
	case method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified:
		return NoBody
	case resp.ProtoMajor != 1 || len(resp.TransferEncoding) > 0:
		return Chunks
	case resp.ContentLength >= 0:
		return Length
	default:
		return Unmarked
	}
}
