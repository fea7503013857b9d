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

// Kind tells this package's errors apart.
type Kind string

const (
	// Unreadable means that the file cannot be read as INI.
	Unreadable Kind = "unreadable"
	// Invalid means that at least one setting is wrong.
	Invalid Kind = "invalid"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Settings are what a router needs to start.
type Settings struct {
	Router   Router
	Callers  Listener
	Peers    Listener
	Admin    Listener
	Platform Platform
	Limits   Limits
	Pace     Pace
	// ResumeKeys seal the ids of stream events; the first seals, all open.
	ResumeKeys relay.Keys
	// Operators are the hashes of operators' tokens with their names.
	Operators map[policy.TokenHash]string
	LogLevel  string
}

// Router says which box this is.
type Router struct {
	ID     ident.Router
	Zone   ident.Zone
	Region ident.Region
	// Seeds are addresses of other routers to try while none is known.
	Seeds []string
}

// Listener is an address with its keys.
type Listener struct {
	Addr string
	// Advertise is the address that other boxes are told, if not Addr.
	Advertise string
	Cert      string
	Key       string
	// CA signs the certificates that the other side must show; empty asks for none.
	CA string
}

// Platform says where the platform's services are.
type Platform struct {
	Table   string
	Object  string
	Boxes   string
	Timeout time.Duration
}

// Limits bound what callers can ask of a router.
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

// Pace is how often a router does what nobody asked for.
type Pace struct {
	Gossip time.Duration
	List   time.Duration
	Head   time.Duration
	Report time.Duration
	Lease  time.Duration
	// Permit bounds a call to a home, waiting not counted.
	Permit time.Duration
}

// Load reads and checks a file; every mistake is named with its line.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fault.New("conf.Load", Unreadable, err)
	}
	return Parse(path, data)
}

// Parse reads and checks settings from a file's text.
func Parse(source string, data []byte) (Settings, error) {
	const op = "conf.Parse"
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, IgnoreInlineComment: false}, data)
	if err != nil {
		return Settings{}, fault.Newf(op, Unreadable, "%s: %v", source, err)
	}
	lines := locate(data)
	var mistakes []string
	note := func(section, key string, err error) {
		mistakes = append(mistakes, fmt.Sprintf("%s:%d: [%s] %s: %v", source, lines.of(section, key), section, key, err))
	}
	s := Settings{Operators: map[policy.TokenHash]string{}}
	known := map[string]bool{}
	for _, o := range options {
		known[o.section+"/"+o.key] = true
		value := o.fallback
		if file.Section(o.section).HasKey(o.key) {
			value = file.Section(o.section).Key(o.key).String()
		}
		if value == "" && o.required {
			note(o.section, o.key, errors.New("is missing"))
			continue
		}
		if err := o.set(&s, value); err != nil {
			note(o.section, o.key, err)
		}
	}
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			switch {
			case section.Name() == operatorsSection:
				if err := s.addOperator(key.Name(), key.String()); err != nil {
					note(section.Name(), key.Name(), err)
				}
			case !known[section.Name()+"/"+key.Name()]:
				note(section.Name(), key.Name(), errors.New("no such setting"))
			}
		}
	}
	for _, problem := range s.check() {
		note(problem.section, problem.key, problem.err)
	}
	if len(mistakes) > 0 {
		return Settings{}, fault.New(op, Invalid, errors.New(strings.Join(mistakes, "\n")))
	}
	return s, nil
}

// operatorsSection maps operators' names to the hashes of their tokens.
const operatorsSection = "operators"

func (s *Settings) addOperator(name, value string) error {
	hash, err := tokenHash(value)
	if err != nil {
		return err
	}
	if other, taken := s.Operators[hash]; taken {
		return errors.Errorf("the token is also of %s", other)
	}
	s.Operators[hash] = name
	return nil
}

type problem struct {
	section string
	key     string
	err     error
}

// check finds settings that do not go together.
func (s *Settings) check() []problem {
	var out []problem
	listeners := []struct {
		section string
		l       Listener
	}{{"callers", s.Callers}, {"peers", s.Peers}, {"admin", s.Admin}}
	for _, at := range listeners {
		if (at.l.Cert == "") != (at.l.Key == "") {
			out = append(out, problem{at.section, "cert", errors.New("cert and key must both be set or both not")})
		}
		if at.l.CA != "" && at.l.Cert == "" {
			out = append(out, problem{at.section, "ca", errors.New("needs cert and key")})
		}
	}
	if s.Peers.Cert != "" && s.Peers.CA == "" {
		out = append(out, problem{"peers", "ca", errors.New("routers with certificates must check each other's")})
	}
	return out
}

// lineIndex finds the line of a key in a file.
type lineIndex map[string]int

// of returns the line of a key, or of its section, or the first.
func (l lineIndex) of(section, key string) int {
	if n, ok := l[section+"/"+key]; ok {
		return n
	}
	return max(l[section+"/"], 1)
}

func locate(data []byte) lineIndex {
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

// Default returns the settings of a file that sets nothing; what must be set is empty.
func Default() Settings {
	s := Settings{Operators: map[policy.TokenHash]string{}}
	for _, o := range options {
		if o.fallback != "" {
			// The defaults are checked by a test.
			_ = o.set(&s, o.fallback)
		}
	}
	return s
}
