package head

import (
	"io"
	"net/http"
	"strings"

	"valescale/internal/plat/fault"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// Status means that the status of an answer is none.
	Status Kind = "bad_status"
	// Name means that the name of a field is no token.
	Name Kind = "bad_field_name"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Check returns an error if the head of an answer is none in the protocol.
func Check(resp *http.Response) error {
	const op = "head.Check"
	if resp.StatusCode < http.StatusContinue {
		return fault.Newf(op, Status, "%d", resp.StatusCode)
	}
	return checkNames(op, resp.Header)
}

// checkNames returns an error if the name of a field is no token.
func checkNames(op string, fields http.Header) error {
	for name := range fields {
		if !isToken(name) {
			return fault.Newf(op, Name, "%q", name)
		}
	}
	return nil
}

// Body returns the body of an answer, which fails at its end if the trailers are none in the protocol.
func Body(resp *http.Response) io.ReadCloser {
	if len(resp.TransferEncoding) == 0 {
		return resp.Body
	}
	return trailedBody{resp.Body, resp}
}

// trailedBody is a body that trailers may follow.
type trailedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if bad := checkNames("head.Body", b.resp.Trailer); bad != nil {
		return n, bad
	}
	return n, io.EOF
}

// separators are the characters besides letters and digits that a token may have.
const separators = "!#$%&'*+-.^_`|~"

// isToken reports whether a name is a token of the protocol.
func isToken(name string) bool {
	for _, c := range []byte(name) {
		isLetter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		isDigit := '0' <= c && c <= '9'
		if !isLetter && !isDigit && !strings.ContainsRune(separators, rune(c)) {
			return false
		}
	}
	return name != ""
}

// Transport returns a transport that fails requests whose answer has no valid head, and bodies that no valid trailers follow.
func Transport(next http.RoundTripper) http.RoundTripper { return checked{next} }

// checked is a transport that checks heads.
type checked struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (c checked) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Body = Body(resp)
	return resp, nil
}
