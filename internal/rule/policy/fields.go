package policy

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"valescale/internal/plat/fault"
)

// fields reads the keys of a document. It keeps the first error, and the keys that were read. A method
// that reads a key returns its fallback if the value is not valid.
type fields struct {
	id       ID
	section  *ini.Section
	keysRead map[string]bool
	err      error
}

// fields returns the keys of a document to read.
func (d Document) fields() *fields {
	section, err := d.section()
	f := &fields{id: d.ID, section: section, keysRead: map[string]bool{}, err: err}
	if err != nil {
		f.section = ini.Empty().Section(ini.DefaultSection)
	}
	return f
}

// text returns the value of a key, or the fallback if the document does not set it.
func (f *fields) text(key, fallback string) string {
	f.keysRead[key] = true
	if !f.section.HasKey(key) {
		return fallback
	}
	return f.section.Key(key).Value()
}

// oneOf returns the value of a key if it is one of those allowed.
func oneOf[T ~string](f *fields, key string, fallback T, allowed ...T) T {
	value := T(f.text(key, string(fallback)))
	if slices.Contains(allowed, value) {
		return value
	}
	var names []string
	for _, a := range allowed {
		names = append(names, string(a))
	}
	f.fail(key, "%q is not one of %s", value, strings.Join(names, ", "))
	return fallback
}

// integer returns the value of a key as a whole number from low to high.
func (f *fields) integer(key string, fallback, low, high int) int {
	value, err := strconv.Atoi(f.text(key, strconv.Itoa(fallback)))
	if err != nil || value < low || value > high {
		f.fail(key, "not a whole number from %d to %d", low, high)
		return fallback
	}
	return value
}

// number returns the value of a key as a number from low to high.
func (f *fields) number(key string, fallback, low, high float64) float64 {
	value, err := strconv.ParseFloat(f.text(key, strconv.FormatFloat(fallback, 'g', -1, 64)), 64)
	if err != nil || !(value >= low && value <= high) {
		f.fail(key, "not a number from %g to %g", low, high)
		return fallback
	}
	return value
}

// duration returns the value of a key as a duration from low to high.
func (f *fields) duration(key string, fallback, low, high time.Duration) time.Duration {
	value, err := time.ParseDuration(f.text(key, fallback.String()))
	if err != nil || value < low || value > high {
		f.fail(key, "not a duration from %s to %s, such as 30s", low, high)
		return fallback
	}
	return value
}

// boolean returns the value of a key as true or false.
func (f *fields) boolean(key string, fallback bool) bool {
	value, err := strconv.ParseBool(f.text(key, strconv.FormatBool(fallback)))
	if err != nil {
		f.fail(key, "must be true or false")
		return fallback
	}
	return value
}

// list returns the value of a key as a list separated by commas.
func (f *fields) list(key string) []string {
	var out []string
	for _, part := range strings.Split(f.text(key, ""), ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// checkLiterals rejects a program that can return a string constant that is not permitted.
func (f *fields) checkLiterals(key string, p *program, allowed func(string) bool) {
	values, _ := p.literals()
	for _, v := range values {
		if !allowed(v) {
			f.fail(key, "gives %q, which does not exist", v)
		}
	}
}

// fail records an error of a key unless there is an earlier one.
func (f *fields) fail(key, format string, args ...any) {
	if f.err != nil {
		return
	}
	args = append([]any{f.id, key}, args...)
	f.err = fault.Newf("policy.Compile", Invalid, "%s: %s: "+format, args...)
}

// done returns the first error. A key that was not read is an error too.
func (f *fields) done() error {
	for _, key := range f.section.KeyStrings() {
		if !f.keysRead[key] {
			f.fail(key, "no such setting")
		}
	}
	return f.err
}
