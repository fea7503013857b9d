package policy

import (
	"sort"
	"strings"

	"gopkg.in/ini.v1"

	"valescale/internal/plat/fault"
)

// DocumentKind is the type of object that a document describes.
type DocumentKind string

const (
	// ServiceKind documents describe the targets that requests are sent to.
	ServiceKind DocumentKind = "service"
	// WorkspaceKind documents describe the callers that send requests.
	WorkspaceKind DocumentKind = "workspace"
	// PolicyKind documents define to which service a request is sent, how long it may wait and
	// whether it may be repeated.
	PolicyKind DocumentKind = "policy"
)

// MaxDocument is the maximum size of one document's text, in bytes.
const MaxDocument = 16 << 10

// MaxName is the maximum length of a document's name, in bytes.
const MaxName = 64

// ID identifies a document.
type ID struct {
	Kind DocumentKind `json:"kind"`
	Name string       `json:"name"`
}

// String returns the ID in the form used in messages and row keys.
func (id ID) String() string { return string(id.Kind) + "/" + id.Name }

// Document is one section of an INI file in canonical form, or the deletion of one.
type Document struct {
	ID      ID     `json:"id"`
	Text    string `json:"text"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Less orders documents by kind and name.
func (d Document) Less(other Document) bool { return d.ID.String() < other.ID.String() }

// loadOptions preserve CEL programs as they are written, including quotes and comment characters.
var loadOptions = ini.LoadOptions{
	IgnoreInlineComment:        true,
	PreserveSurroundedQuote:    true,
	IgnoreContinuation:         true,
	AllowPythonMultilineValues: true,
	AllowNonUniqueSections:     true,
	AllowDuplicateShadowValues: true,
	AllowShadows:               true,
}

// Split parses an INI file and returns its documents in order of kind and name.
func Split(source string, data []byte) ([]Document, error) {
	const op = "policy.Split"
	file, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		return nil, fault.Newf(op, Syntax, "%s: %v", source, err)
	}
	var out []Document
	seen := map[ID]bool{}
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection {
			if len(section.Keys()) > 0 {
				return nil, fault.Newf(op, Syntax, "%s: key %q is outside of a section", source, section.Keys()[0].Name())
			}
			continue
		}
		doc, err := fromSection(section)
		if err != nil {
			return nil, fault.Newf(op, Syntax, "%s: %v", source, err)
		}
		if seen[doc.ID] {
			return nil, fault.Newf(op, Syntax, "%s: section [%s] is defined twice", source, section.Name())
		}
		seen[doc.ID] = true
		out = append(out, doc)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Less(out[j]) })
	return out, nil
}

func fromSection(section *ini.Section) (Document, error) {
	const op = "policy.fromSection"
	kind, name, ok := strings.Cut(section.Name(), " ")
	id := ID{Kind: DocumentKind(kind), Name: strings.TrimSpace(name)}
	if !ok || !knownKind(id.Kind) {
		return Document{}, fault.Newf(op, Syntax, "[%s] is not [service NAME], [workspace NAME] or [policy NAME]", section.Name())
	}
	if err := checkName(id.Name); err != nil {
		return Document{}, err
	}
	var text strings.Builder
	for _, key := range section.Keys() {
		values := key.ValueWithShadows()
		if len(values) > 1 {
			return Document{}, fault.Newf(op, Syntax, "[%s] sets %q twice", section.Name(), key.Name())
		}
		text.WriteString(key.Name() + " = " + oneLine(key.Value()) + "\n")
	}
	if text.Len() > MaxDocument {
		return Document{}, fault.Newf(op, Syntax, "[%s] is larger than %d bytes", section.Name(), MaxDocument)
	}
	return Document{ID: id, Text: text.String()}, nil
}

func knownKind(kind DocumentKind) bool {
	return kind == ServiceKind || kind == WorkspaceKind || kind == PolicyKind
}

func checkName(name string) error {
	if name == "" || len(name) > MaxName {
		return fault.Newf("policy.checkName", Syntax, "name %q is not 1 to %d characters long", name, MaxName)
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '_' && r != '-' {
			return fault.Newf("policy.checkName", Syntax, "name %q contains characters other than a-z, 0-9, _ and -", name)
		}
	}
	return nil
}

// oneLine joins the lines of a value with spaces, which does not change its meaning in CEL.
func oneLine(value string) string {
	return strings.Join(strings.Fields(value), " ")
}

// section parses the text of a document into keys.
func (d Document) section() (*ini.Section, error) {
	file, err := ini.LoadSources(loadOptions, []byte(d.Text))
	if err != nil {
		return nil, fault.Newf("policy.section", Syntax, "%s: %v", d.ID, err)
	}
	return file.Section(ini.DefaultSection), nil
}
