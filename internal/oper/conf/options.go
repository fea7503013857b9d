package conf

import (
	"encoding/hex"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"valescale/internal/plat/ident"
	"valescale/internal/rule/policy"
)

// option is one setting: its section and key, its default, its description, and the function
// that validates and stores its value.
type option struct {
	section      string
	key          string
	defaultValue string
	required     bool
	description  string
	set          func(*Settings, string) error
}

var options = []option{
	{"router", "id", "", true, "the id of this router, unique in the fleet", identifier(func(s *Settings) *ident.Router { return &s.Router.ID })},
	{"router", "zone", "", true, "the availability zone of this box", identifier(func(s *Settings) *ident.Zone { return &s.Router.Zone })},
	{"router", "region", "", true, "the region of this box", identifier(func(s *Settings) *ident.Region { return &s.Router.Region })},
	{"router", "seeds", "", false, "comma-separated addresses of other routers, used while the list of boxes cannot be read", seeds},

	{"callers", "addr", "0.0.0.0:8080", false, "listen address for callers", addr(func(s *Settings) *string { return &s.Callers.Addr })},
	{"callers", "cert", "", false, "certificate file; empty serves in clear text", file(func(s *Settings) *string { return &s.Callers.Cert })},
	{"callers", "key", "", false, "key file of the certificate", keyFile(func(s *Settings) *string { return &s.Callers.Key })},
	{"callers", "ca", "", false, "file of the certificate authorities for client certificates that identify workspaces", file(func(s *Settings) *string { return &s.Callers.CA })},

	{"peers", "addr", "0.0.0.0:8081", false, "listen address for other routers", addr(func(s *Settings) *string { return &s.Peers.Addr })},
	{"peers", "advertise", "", false, "the address published to other routers; empty uses addr", optionalAddr(func(s *Settings) *string { return &s.Peers.Advertise })},
	{"peers", "cert", "", false, "certificate file; its common name must be the router's id; empty uses clear text", file(func(s *Settings) *string { return &s.Peers.Cert })},
	{"peers", "key", "", false, "key file of the certificate", keyFile(func(s *Settings) *string { return &s.Peers.Key })},
	{"peers", "ca", "", false, "file of the certificate authority that signs the routers' certificates", file(func(s *Settings) *string { return &s.Peers.CA })},

	{"admin", "addr", "127.0.0.1:8082", false, "listen address for operators' commands, health checks and metrics", addr(func(s *Settings) *string { return &s.Admin.Addr })},
	{"admin", "cert", "", false, "certificate file; empty serves in clear text", file(func(s *Settings) *string { return &s.Admin.Cert })},
	{"admin", "key", "", false, "key file of the certificate", keyFile(func(s *Settings) *string { return &s.Admin.Key })},

	{"platform", "table", "", true, "base URL of the table service", baseURL(func(s *Settings) *string { return &s.Platform.Table })},
	{"platform", "object", "", true, "base URL of the object store", baseURL(func(s *Settings) *string { return &s.Platform.Object })},
	{"platform", "boxes", "", true, "base URL of the list of boxes", baseURL(func(s *Settings) *string { return &s.Platform.Boxes })},
	{"platform", "timeout", "2s", false, "timeout of one call to the platform", duration(func(s *Settings) *time.Duration { return &s.Platform.Timeout }, time.Millisecond, time.Minute)},

	{"limits", "body", "4194304", false, "maximum size of a request body, in bytes", integer(func(s *Settings) *int64 { return &s.Limits.Body }, 1, 1<<30)},
	{"limits", "body_time", "30s", false, "timeout for receiving a request body", duration(func(s *Settings) *time.Duration { return &s.Limits.BodyTime }, time.Millisecond, time.Hour)},
	{"limits", "header", "32768", false, "maximum size of a request header, in bytes", integer(func(s *Settings) *int { return &s.Limits.Header }, 1024, 1<<20)},
	{"limits", "answer", "8388608", false, "maximum size of a target's buffered response, in bytes", integer(func(s *Settings) *int64 { return &s.Limits.Answer }, 1, 1<<30)},
	{"limits", "memory", "1024", false, "memory of the box, in megabytes, of which a part is kept for callers", integer(func(s *Settings) *int { return &s.Limits.Memory }, 64, 1<<20)},
	{"limits", "tries", "3", false, "maximum number of attempts per request", integer(func(s *Settings) *int { return &s.Limits.Tries }, 1, 10)},
	{"limits", "queue", "2000", false, "maximum number of requests that wait for one shard of a pool", integer(func(s *Settings) *int { return &s.Limits.Queue }, 0, 1_000_000)},
	{"limits", "queue_per_workspace", "500", false, "maximum number of these requests per workspace", integer(func(s *Settings) *int { return &s.Limits.PerWorkspace }, 0, 1_000_000)},
	{"limits", "drain_delay", "3s", false, "how long a draining router that is no longer ready still accepts new requests", duration(func(s *Settings) *time.Duration { return &s.Limits.DrainDelay }, 0, time.Hour)},
	{"limits", "drain_time", "10m", false, "how long a draining router waits for requests in flight", duration(func(s *Settings) *time.Duration { return &s.Limits.DrainTime }, 0, 24*time.Hour)},

	{"pace", "gossip", "1s", false, "interval of gossip with other routers", duration(func(s *Settings) *time.Duration { return &s.Pace.Gossip }, 10*time.Millisecond, time.Minute)},
	{"pace", "list", "2s", false, "interval of reads of the list of boxes", duration(func(s *Settings) *time.Duration { return &s.Pace.List }, 10*time.Millisecond, time.Minute)},
	{"pace", "head", "5s", false, "interval of polls of the recorded configuration", duration(func(s *Settings) *time.Duration { return &s.Pace.Head }, 10*time.Millisecond, time.Minute)},
	{"pace", "report", "4s", false, "interval at which the home of a shard reads its engines' reports", duration(func(s *Settings) *time.Duration { return &s.Pace.Report }, 10*time.Millisecond, time.Minute)},
	{"pace", "lease", "10s", false, "duration of a lease that is not renewed", duration(func(s *Settings) *time.Duration { return &s.Pace.Lease }, 100*time.Millisecond, time.Hour)},
	{"pace", "permit", "300ms", false, "timeout of a permit request, after which the router places the request itself", duration(func(s *Settings) *time.Duration { return &s.Pace.Permit }, time.Millisecond, time.Minute)},

	{"keys", "resume", "", true, "comma-separated keys for sealing stream event ids, each 32 bytes in hexadecimal; the first key seals, all keys open", resumeKeys},
	{"log", "level", "info", false, "debug, info, warn or error", logLevel},
}

func identifier[T ~string](field func(*Settings) *T) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if len(v) > 64 || strings.ContainsAny(v, " \t/") {
			return errors.New("must be at most 64 characters, without spaces, tabs or slashes")
		}
		*field(s) = T(v)
		return nil
	}
}

func addr(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		host, port, err := net.SplitHostPort(v)
		if err != nil {
			return errors.Errorf("%q is not IP:PORT", v)
		}
		if _, err := netip.ParseAddr(host); err != nil {
			return errors.Errorf("%q is not an IP address", host)
		}
		if _, err := strconv.ParseUint(port, 10, 16); err != nil {
			return errors.Errorf("%q is not a port number", port)
		}
		*field(s) = v
		return nil
	}
}

func optionalAddr(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if v == "" {
			return nil
		}
		return addr(field)(s, v)
	}
}

func seeds(s *Settings, v string) error {
	for _, part := range splitList(v) {
		var seed string
		if err := addr(func(*Settings) *string { return &seed })(s, part); err != nil {
			return err
		}
		s.Router.Seeds = append(s.Router.Seeds, seed)
	}
	return nil
}

func file(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if v != "" {
			if _, err := os.Stat(v); err != nil {
				return errors.Errorf("cannot read the file: %v", err)
			}
		}
		*field(s) = v
		return nil
	}
}

// keyFile rejects key files that other users on the box can read.
func keyFile(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		if v == "" {
			return nil
		}
		info, err := os.Stat(v)
		if err != nil {
			return errors.Errorf("cannot read the file: %v", err)
		}
		if info.Mode().Perm()&0o077 != 0 {
			return errors.Errorf("the key file has mode %04o; group and others must have no access", info.Mode().Perm())
		}
		*field(s) = v
		return nil
	}
}

func baseURL(field func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		u, err := url.Parse(v)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return errors.Errorf("%q is not an http or https URL", v)
		}
		*field(s) = strings.TrimSuffix(v, "/")
		return nil
	}
}

func duration(field func(*Settings) *time.Duration, low, high time.Duration) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < low || d > high {
			return errors.Errorf("%q is not a duration from %s to %s, such as 30s", v, low, high)
		}
		*field(s) = d
		return nil
	}
}

func integer[T int | int64](field func(*Settings) *T, low, high T) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || T(n) < low || T(n) > high {
			return errors.Errorf("%q is not an integer from %d to %d", v, low, high)
		}
		*field(s) = T(n)
		return nil
	}
}

const resumeKeyBytes = 32

func resumeKeys(s *Settings, v string) error {
	for _, part := range splitList(v) {
		key, err := hex.DecodeString(part)
		if err != nil || len(key) != resumeKeyBytes {
			return errors.Errorf("each key must be %d bytes in hexadecimal", resumeKeyBytes)
		}
		s.ResumeKeys = append(s.ResumeKeys, key)
	}
	return nil
}

func logLevel(s *Settings, v string) error {
	switch v {
	case "debug", "info", "warn", "error":
		s.LogLevel = v
		return nil
	default:
		return errors.Errorf("%q is not debug, info, warn or error", v)
	}
}

func tokenHash(v string) (policy.TokenHash, error) {
	var hash policy.TokenHash
	raw, err := hex.DecodeString(v)
	if err != nil || len(raw) != len(hash) {
		return hash, errors.New("must be the SHA-256 of a token in hexadecimal")
	}
	return policy.TokenHash(raw), nil
}

func splitList(v string) []string {
	var out []string
	for _, part := range strings.Split(v, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// Help returns the settings page: every option with its default and description.
func Help() string {
	var out strings.Builder
	section := ""
	for _, o := range options {
		if o.section != section {
			section = o.section
			out.WriteString("\n## [" + section + "]\n\n| key | default | meaning |\n| --- | --- | --- |\n")
		}
		defaultValue := "`" + o.defaultValue + "`"
		if o.defaultValue == "" {
			defaultValue = "none"
		}
		if o.required {
			defaultValue = "must be set"
		}
		out.WriteString("| `" + o.key + "` | " + defaultValue + " | " + o.description + " |\n")
	}
	out.WriteString("\n## [operators]\n\nOne line per operator: the name and the SHA-256 of the token in hexadecimal.\n")
	return out.String()
}
