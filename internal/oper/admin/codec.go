package admin

import (
	"time"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/policy"
	"valescale/internal/share/config"
	"valescale/internal/share/peerpb"
)

// EncodeDocuments returns the wire form of documents.
func EncodeDocuments(documents []policy.Document) []*peerpb.Document {
	out := make([]*peerpb.Document, 0, len(documents))
	for _, d := range documents {
		out = append(out, &peerpb.Document{Kind: string(d.ID.Kind), Name: d.ID.Name, Text: d.Text, Deleted: d.Deleted})
	}
	return out
}

// DecodeDocuments returns documents from their wire form.
func DecodeDocuments(in []*peerpb.Document) []policy.Document {
	out := make([]policy.Document, 0, len(in))
	for _, d := range in {
		id := policy.ID{Kind: policy.DocumentKind(d.GetKind()), Name: d.GetName()}
		out = append(out, policy.Document{ID: id, Text: d.GetText(), Deleted: d.GetDeleted()})
	}
	return out
}

// EncodeProblems returns the wire form of the problems of documents.
func EncodeProblems(problems []policy.Problem) []*peerpb.Problem {
	out := make([]*peerpb.Problem, 0, len(problems))
	for _, p := range problems {
		out = append(out, &peerpb.Problem{Document: p.Document.String(), Message: p.Err.Error()})
	}
	return out
}

// EncodeChange returns the wire form of a change.
func EncodeChange(c config.Change) *peerpb.Change {
	return &peerpb.Change{
		Revision:  uint64(c.Revision),
		ChangeId:  c.ID,
		Operator:  string(c.Operator),
		UnixMs:    c.At.UnixMilli(),
		Note:      c.Note,
		Documents: EncodeDocuments(c.Documents),
	}
}

// DecodeChange returns a change from its wire form.
func DecodeChange(c *peerpb.Change) config.Change {
	return config.Change{
		Revision:  ident.Revision(c.GetRevision()),
		ID:        c.GetChangeId(),
		Operator:  config.Operator(c.GetOperator()),
		At:        time.UnixMilli(c.GetUnixMs()).UTC(),
		Note:      c.GetNote(),
		Documents: DecodeDocuments(c.GetDocuments()),
	}
}
