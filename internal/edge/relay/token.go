package relay

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
)

// Token is a position in a stream with which any router can resume it.
type Token struct {
	Target      ident.Target
	Incarnation ident.Incarnation
	Stream      string
	// Offset is the number of events of the stream that the caller has received.
	Offset uint64
}

// Keys are the keys that authenticate tokens. Seal uses the first key and Open tries all of them,
// so that keys can be rotated.
type Keys [][]byte

const macBytes = 16

// Seal returns the text of a token, which is valid for its workspace only.
func (k Keys) Seal(workspace ident.Workspace, t Token) string {
	body := appendField(nil, string(t.Target))
	body = appendField(body, t.Stream)
	body = binary.AppendUvarint(body, uint64(t.Incarnation))
	body = binary.AppendUvarint(body, t.Offset)
	return base64.RawURLEncoding.EncodeToString(append(mac(k[0], workspace, body), body...))
}

// Open verifies and decodes the text of a token.
func (k Keys) Open(workspace ident.Workspace, text string) (Token, error) {
	const op = "relay.Open"
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) < macBytes {
		return Token{}, fault.New(op, BadToken, err)
	}
	body := raw[macBytes:]
	for _, key := range k {
		if hmac.Equal(raw[:macBytes], mac(key, workspace, body)) {
			return parseToken(body)
		}
	}
	return Token{}, fault.New(op, BadToken, nil)
}

func mac(key []byte, workspace ident.Workspace, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(appendField(nil, string(workspace)))
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

func appendField(out []byte, value string) []byte {
	out = binary.AppendUvarint(out, uint64(len(value)))
	return append(out, value...)
}

func parseToken(body []byte) (Token, error) {
	var t Token
	target, body, ok := readField(body)
	stream, body, ok2 := readField(body)
	incarnation, n := binary.Uvarint(body)
	if !ok || !ok2 || n <= 0 {
		return Token{}, fault.New("relay.Open", BadToken, nil)
	}
	offset, m := binary.Uvarint(body[n:])
	if m <= 0 || n+m != len(body) {
		return Token{}, fault.New("relay.Open", BadToken, nil)
	}
	t.Target = ident.Target(target)
	t.Stream = stream
	t.Incarnation = ident.Incarnation(incarnation)
	t.Offset = offset
	return t, nil
}

func readField(body []byte) (string, []byte, bool) {
	size, n := binary.Uvarint(body)
	if n <= 0 || size > uint64(len(body)-n) {
		return "", nil, false
	}
	return string(body[n : n+int(size)]), body[n+int(size):], true
}
