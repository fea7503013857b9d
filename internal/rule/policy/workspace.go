package policy

import (
	"crypto/sha256"
	"encoding/hex"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/quota"
)

// TokenHash is the SHA-256 of a caller's bearer token.
type TokenHash [sha256.Size]byte

// HashToken returns the hash of a bearer token in the form that workspace documents contain.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// String returns the hash in hexadecimal.
func (h TokenHash) String() string { return hex.EncodeToString(h[:]) }

// Workspace is a compiled workspace document.
type Workspace struct {
	Name   ident.Workspace
	Policy string
	// Tokens are the hashes of the bearer tokens that authenticate its callers.
	Tokens []TokenHash
	// Certs are the common names of the client certificates that authenticate its callers.
	Certs []string
	// Weight is its relative share of capacity when workspaces wait for the same engines.
	Weight int
	// Rate limits its requests per second over the whole fleet; zero means no limit.
	Rate quota.Rate
	// Burst is the number of requests that may arrive at once, in excess of the rate.
	Burst int
}

func compileWorkspace(d Document) (Workspace, error) {
	f := d.fields()
	w := Workspace{
		Name:   ident.Workspace(d.ID.Name),
		Policy: f.text("policy", ""),
		Certs:  f.list("certs"),
		Weight: f.integer("weight", 1, 1, 1000),
		Rate:   quota.Rate(f.number("rate", 0, 0, 1_000_000)),
	}
	w.Burst = f.integer("burst", max(int(w.Rate), 1), 1, 1_000_000)
	for _, part := range f.list("token_sha256") {
		raw, err := hex.DecodeString(part)
		if err != nil || len(raw) != sha256.Size {
			f.fail("token_sha256", "%q is not the SHA-256 of a token in hexadecimal", part)
			continue
		}
		w.Tokens = append(w.Tokens, TokenHash(raw))
	}
	if w.Policy == "" {
		f.fail("policy", "is missing")
	}
	return w, f.done()
}
