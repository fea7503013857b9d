package crash

import (
	"fmt"
	"strings"

	"valescale/internal/plat/ident"
)

// Kind is the kind of a trait.
type Kind uint8

const (
	// WholeRequest is the trait of requests that are equal for a target, such as retries of a caller.
	WholeRequest Kind = iota
	// PromptPart is the trait of requests whose prompts have a part in common.
	PromptPart
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	if k == PromptPart {
		return "part"
	}
	return "request"
}

// threshold returns the number of crashes, not explained by a likelier trait, after which requests
// with a trait of this kind are quarantined. A part is common to many requests, so that it is more
// often interrupted by chance than one request.
func (k Kind) threshold() int {
	if k == PromptPart {
		return partThreshold
	}
	return requestThreshold
}

// Trait is a property of requests that may be the cause of crashes.
type Trait struct {
	Kind Kind
	Hash uint64
}

// Request returns the trait of all requests with a fingerprint.
func Request(f ident.Fingerprint) Trait { return Trait{Kind: WholeRequest, Hash: uint64(f)} }

// Part returns the trait of all requests with a part in their prompts.
func Part(p ident.PartHash) Trait { return Trait{Kind: PromptPart, Hash: uint64(p)} }

// Traits returns the traits of a request: its fingerprint, and the parts of its prompt that other
// requests may share.
func Traits(f ident.Fingerprint, parts []ident.PartHash) []Trait {
	return append([]Trait{Request(f)}, Parts(parts)...)
}

// Parts returns the traits of parts of a prompt.
func Parts(parts []ident.PartHash) []Trait {
	out := make([]Trait, 0, len(parts))
	for _, p := range parts {
		out = append(out, Part(p))
	}
	return out
}

// Label returns the kind and the hash, for logs; it is empty for the zero value.
func (t Trait) Label() string {
	if t == (Trait{}) {
		return ""
	}
	return t.Kind.String() + ":" + t.String()
}

// maxJoined limits the traits in one log line.
const maxJoined = 8

// Join returns the first of some traits, separated by commas, for logs.
func Join(traits []Trait) string {
	var names []string
	for _, t := range traits[:min(len(traits), maxJoined)] {
		names = append(names, t.String())
	}
	return strings.Join(names, ",")
}

// String returns the hash in hexadecimal, the format used in logs and keys of rows.
func (t Trait) String() string { return fmt.Sprintf("%x", t.Hash) }
