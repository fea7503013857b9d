package conf_test

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/oper/conf"
)

const good = `[router]
id = router-1
zone = zone-a
region = co-central
[platform]
table = http://10.0.0.1:80
object = http://10.0.0.1:80
boxes = http://10.0.0.1:80
[keys]
resume = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
[operators]
ana = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
`

func TestDefaults(t *testing.T) {
	s, err := conf.Parse("good.ini", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(conf.Default().Limits, s.Limits); diff != "" {
		t.Error(diff)
	}
	if s.Limits.Tries != 3 || s.Pace.Gossip == 0 || len(s.Operators) != 1 {
		t.Errorf("got %+v", s)
	}
}

func TestErrorsIncludeFileAndLine(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"missing", "id = router-1\n", "", "bad.ini:1: [router] id: required setting is missing"},
		{"unknown", "zone = zone-a", "zone = zone-a\nzoen = x", "bad.ini:4: [router] zoen: unknown setting"},
		{"address", "region = co-central", "region = co-central\n[peers]\naddr = localhost:1", `bad.ini:6: [peers] addr: "localhost" is not an IP address`},
		{"range", "[platform]", "[limits]\ntries = 99\n[platform]", `bad.ini:6: [limits] tries: "99" is not an integer from 1 to 10`},
		{"time", "[platform]", "[pace]\ngossip = 1\n[platform]", `[pace] gossip: "1" is not a duration from 10ms to 1m0s`},
		{"key", "000102", "0001", "[keys] resume: each key must be 32 bytes"},
		{"url", "table = http://10.0.0.1:80", "table = 10.0.0.1", "[platform] table:"},
		{"token", "ana = 9f", "ana = ", "[operators] ana: must be the SHA-256"},
		{"half a key pair", "[platform]", "[peers]\ncert = /dev/null\n[platform]", "cert and key must be set together"},
		{"level", "[platform]", "[log]\nlevel = loud\n[platform]", "[log] level:"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(good, c.old, c.replacement, 1)
			if text == good {
				t.Fatal("the text to replace does not occur in the settings")
			}
			_, err := conf.Parse("bad.ini", []byte(text))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

// TestSettingsPage checks that the settings page is generated from the current options.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(string(page), conf.Help()) {
		t.Error("docs/SETTINGS.md differs from the output of `valescale settings`; run make docs")
	}
}

func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Fuzz(func(t *testing.T, text string) {
		s, err := conf.Parse("fuzz.ini", []byte(text))
		if err == nil && (s.Router.ID == "" || len(s.ResumeKeys) == 0) {
			t.Errorf("settings accepted without router id or resume keys: %q", text)
		}
	})
}
