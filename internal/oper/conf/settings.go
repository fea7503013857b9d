package conf

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"

	"valescale/internal/edge/relay"
	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
	"valescale/internal/rule/policy"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// Unreadable is the kind of a file that cannot be read as INI.
	Unreadable Kind = "unreadable"
	// Invalid is the kind of a file with at least one invalid setting.
	Invalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Settings are the settings of a router.
type Settings struct {
	Router   Router
	Callers  Listener
	Peers    Listener
	Admin    Listener
	Platform Platform
	Limits   Limits
	Pace     Pace
	// ResumeKeys seal the ids of stream events; the first key seals, and all keys can open.
	ResumeKeys relay.Keys
	// Operators maps the hashes of operators' tokens to their names.
	Operators map[policy.TokenHash]string
	LogLevel  string
}

// Router identifies this router and its box.
type Router struct {
	ID     ident.Router
	Zone   ident.Zone
	Region ident.Region
	// Seeds are addresses of other routers to try while the membership view has none.
	Seeds []string
}

// Listener is the address and the TLS files of a listener.
type Listener struct {
	Addr string
	// Advertise is the address published to other boxes, if it is not Addr.
	Advertise string
	Cert      string
	Key       string
	// CA signs the certificates that clients present; if it is empty, none is requested.
	CA string
}

// Platform holds the base URLs of the platform's services and the timeout of their calls.
type Platform struct {
	Table   string
	Object  string
	Boxes   string
	Timeout time.Duration
}

// Limits bound the resources that requests of callers can use.
type Limits struct {
	Body     int64
	BodyTime time.Duration
	Header   int
	Answer   int64
	// Memory is the memory of the box in megabytes.
	Memory       int
	Tries        int
	Queue        int
	PerWorkspace int
	DrainDelay   time.Duration
	DrainTime    time.Duration
}

// Pace holds the intervals of periodic tasks and the timeouts of leases and permit requests.
type Pace struct {
	Gossip time.Duration
	List   time.Duration
	Head   time.Duration
	Report time.Duration
	Lease  time.Duration
	// Permit limits the time of a call to a home, without the time in its queue.
	Permit time.Duration
}

// Load reads and validates a file. The error lists every invalid setting with its line.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fault.New("conf.Load", Unreadable, err)
	}
	return Parse(path, data)
}

// Parse reads and validates settings from the text of a file.
func Parse(source string, data []byte) (Settings, error) {
	const op = "conf.Parse"
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, IgnoreInlineComment: false}, data)
	if err != nil {
		return Settings{}, fault.Newf(op, Unreadable, "%s: %v", source, err)
	}
	s := Settings{Operators: map[policy.TokenHash]string{}}
	problems := s.setOptions(file)
	problems = append(problems, s.addOperators(file)...)
	problems = append(problems, s.check()...)
	if len(problems) == 0 {
		return s, nil
	}
	lines := indexLines(data)
	var invalid []string
	for _, p := range problems {
		invalid = append(invalid, fmt.Sprintf("%s:%d: [%s] %s: %v", source, lines.of(p.section, p.key), p.section, p.key, p.err))
	}
	return Settings{}, fault.New(op, Invalid, errors.New(strings.Join(invalid, "\n")))
}

// problem is an invalid setting.
type problem struct {
	section string
	key     string
	err     error
}

// setOptions sets all options to the values of a file or to their defaults.
func (s *Settings) setOptions(file *ini.File) []problem {
	var problems []problem
	for _, o := range options {
		value := o.defaultValue
		if file.Section(o.section).HasKey(o.key) {
			value = file.Section(o.section).Key(o.key).String()
		}
		if value == "" && o.required {
			problems = append(problems, problem{o.section, o.key, errors.New("required setting is missing")})
			continue
		}
		if err := o.set(s, value); err != nil {
			problems = append(problems, problem{o.section, o.key, err})
		}
	}
	return problems
}

// isOption reports whether there is an option with a key.
func isOption(section, key string) bool {
	return slices.ContainsFunc(options, func(o option) bool { return o.section == section && o.key == key })
}

// addOperators adds the operators of a file. A key that is no option is a problem too.
func (s *Settings) addOperators(file *ini.File) []problem {
	var problems []problem
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			switch {
			case section.Name() == operatorsSection:
				if err := s.addOperator(key.Name(), key.String()); err != nil {
					problems = append(problems, problem{section.Name(), key.Name(), err})
				}
			case !isOption(section.Name(), key.Name()):
				problems = append(problems, problem{section.Name(), key.Name(), errors.New("unknown setting")})
			}
		}
	}
	return problems
}

// operatorsSection is the section that maps operators' names to the hashes of their tokens.
const operatorsSection = "operators"

// addOperator adds an operator with the hash of its token.
func (s *Settings) addOperator(name, value string) error {
	hash, err := tokenHash(value)
	if err != nil {
		return err
	}
	if other, taken := s.Operators[hash]; taken {
		return errors.Errorf("the token is already assigned to operator %s", other)
	}
	s.Operators[hash] = name
	return nil
}

// check returns the conflicts between settings.
func (s *Settings) check() []problem {
	var out []problem
	listeners := []struct {
		section string
		l       Listener
	}{{"callers", s.Callers}, {"peers", s.Peers}, {"admin", s.Admin}}
	for _, listener := range listeners {
		if (listener.l.Cert == "") != (listener.l.Key == "") {
			out = append(out, problem{listener.section, "cert", errors.New("cert and key must be set together")})
		}
		if listener.l.CA != "" && listener.l.Cert == "" {
			out = append(out, problem{listener.section, "ca", errors.New("requires cert and key")})
		}
	}
	if s.Peers.Cert != "" && s.Peers.CA == "" {
		out = append(out, problem{"peers", "ca", errors.New("required with cert: routers verify each other's certificates")})
	}
	return out
}

// position identifies a key of a file, or a section if the key is empty.
type position struct{ section, key string }

// lineIndex maps sections and keys to line numbers.
type lineIndex map[position]int

// of returns the line of a key, else the line of its section, else 1.
func (l lineIndex) of(section, key string) int {
	if n, ok := l[position{section, key}]; ok {
		return n
	}
	return max(l[position{section: section}], 1)
}

// indexLines returns the line numbers of the sections and keys of a file.
func indexLines(data []byte) lineIndex {
	index := lineIndex{}
	section := ini.DefaultSection
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = strings.TrimSpace(line[1 : len(line)-1])
			index[position{section: section}] = i + 1
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			index[position{section, strings.TrimSpace(key)}] = i + 1
		}
	}
	return index
}

// Default returns the default settings; required settings are empty.
func Default() Settings {
	s := Settings{Operators: map[policy.TokenHash]string{}}
	for _, o := range options {
		if o.defaultValue != "" {
			// A test checks that all defaults are valid, so the error is ignored.
			_ = o.set(&s, o.defaultValue)
		}
	}
	return s
}
