package head

import (
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
	for name := range resp.Header {
		if !isToken(name) {
			return fault.Newf(op, Name, "%q", name)
		}
	}
	return nil
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

// Transport returns a transport that fails requests whose answer has no valid head.
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
	return resp, nil
}
