package conf

import (
	"fmt"
	"os"
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
	Body         int64
	BodyTime     time.Duration
	Header       int
	Answer       int64
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
	lines := indexLines(data)
	var invalid []string
	report := func(section, key string, err error) {
		invalid = append(invalid, fmt.Sprintf("%s:%d: [%s] %s: %v", source, lines.of(section, key), section, key, err))
	}
	s := Settings{Operators: map[policy.TokenHash]string{}}
	known := map[string]bool{}
	for _, o := range options {
		known[o.section+"/"+o.key] = true
		value := o.defaultValue
		if file.Section(o.section).HasKey(o.key) {
			value = file.Section(o.section).Key(o.key).String()
		}
		if value == "" && o.required {
			report(o.section, o.key, errors.New("required setting is missing"))
			continue
		}
		if err := o.set(&s, value); err != nil {
			report(o.section, o.key, err)
		}
	}
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			switch {
			case section.Name() == operatorsSection:
				if err := s.addOperator(key.Name(), key.String()); err != nil {
					report(section.Name(), key.Name(), err)
				}
			case !known[section.Name()+"/"+key.Name()]:
				report(section.Name(), key.Name(), errors.New("unknown setting"))
			}
		}
	}
	for _, problem := range s.check() {
		report(problem.section, problem.key, problem.err)
	}
	if len(invalid) > 0 {
		return Settings{}, fault.New(op, Invalid, errors.New(strings.Join(invalid, "\n")))
	}
	return s, nil
}

// operatorsSection is the section that maps operators' names to the hashes of their tokens.
const operatorsSection = "operators"

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

type problem struct {
	section string
	key     string
	err     error
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

// lineIndex maps "section/key", and "section/" for a section itself, to a line number.
type lineIndex map[string]int

// of returns the line of a key, else the line of its section, else 1.
func (l lineIndex) of(section, key string) int {
	if n, ok := l[section+"/"+key]; ok {
		return n
	}
	return max(l[section+"/"], 1)
}

// indexLines returns the line numbers of the sections and keys of a file.
func indexLines(data []byte) lineIndex {
	index := lineIndex{}
	section := ini.DefaultSection
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = strings.TrimSpace(line[1 : len(line)-1])
			index[section+"/"] = i + 1
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			index[section+"/"+strings.TrimSpace(key)] = i + 1
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
