package policy_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/rule/policy"
	"valescale/internal/rule/retry"
)

const sample = `
[service shop-model]
kind = engine
slots = 24
not_run_status = 429, 503

[service shop-app]
kind = plain
timeout = 20s

[policy shop]
service = request.path.startsWith("/v1/")
  ? "shop-model" : "shop-app"
repeat = request.method == "POST" && request.path == "/orders" ? "never" : "safe"
priority = request.headers.value("x-bench") == "florist" ? 9 : 5
wait = duration("2s")

[workspace petalwise]
policy = shop
token_sha256 = ` + "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08" + `
rate = 50
`

func compile(t *testing.T, text string) (*policy.Set, []policy.Problem) {
	t.Helper()
	documents, err := policy.Split("sample.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return policy.Compile(documents)
}

func TestDecide(t *testing.T) {
	set, problems := compile(t, sample)
	if problems != nil {
		t.Fatal(problems)
	}
	w, ok := set.ByToken("test")
	if !ok {
		t.Fatal("no workspace has the token")
	}
	got := set.Decide(w, &policy.Request{
		Method: "POST", Path: "/orders", Headers: map[string]string{"x-bench": "florist"},
	})
	want := policy.Decision{
		Service: "shop-app", Repeat: retry.Never, Priority: 9, Wait: 2 * time.Second, OnLoss: policy.Continue,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestCompileReportsProblems(t *testing.T) {
	cases := []struct{ name, old, replacement, message string }{
		{"type", `duration("2s")`, `"2s"`, "has type string, want"},
		{"unknown name", "request.method ==", "request.verb ==", "undeclared reference"},
		{"unknown service", `: "shop-app"`, `: "shop-ap"`, `"shop-ap", which does not exist`},
		{"unknown repeat", `"never"`, `"nevr"`, `"nevr", which does not exist`},
		{"cost", `request.path == "/orders"`, strings.Repeat(`request.path.matches("(a+)+b") && `, 60) + "true", "estimated cost"},
		{"range", "slots = 24", "slots = -1", "not a whole number"},
		{"status", "429, 503", "200", "not an HTTP status"},
		{"unknown key", "slots = 24", "slotz = 24", "no such setting"},
		{"policy", "policy = shop\n", "policy = shp\n", `"shp" does not exist`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(sample, c.old, c.replacement, 1)
			if text == sample {
				t.Fatal("nothing replaced")
			}
			set, problems := compile(t, text)
			if set != nil || len(problems) == 0 || !strings.Contains(problems[0].Err.Error(), c.message) {
				t.Errorf("got %v, want a problem with %q", problems, c.message)
			}
		})
	}
}

func TestSplitRejectsBadFiles(t *testing.T) {
	for _, text := range []string{
		"loose = 1", "[router x]\n", "[service A B]\n", "[service x]\na=1\na=2\n", "[service x]\n[service x]\n", "[service",
	} {
		if _, err := policy.Split("bad.ini", []byte(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

func FuzzCompile(f *testing.F) {
	f.Add(sample)
	f.Add("[policy p]\nservice = \"x\"")
	f.Fuzz(func(t *testing.T, text string) {
		documents, err := policy.Split("fuzz.ini", []byte(text))
		if err != nil {
			return
		}
		set, problems := policy.Compile(documents)
		if (set == nil) != (len(problems) > 0) {
			t.Errorf("set %v with problems %v", set, problems)
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	documents, _ := policy.Split("sample.ini", []byte(sample))
	set, _ := policy.Compile(documents)
	w, _ := set.ByToken("test")
	r := &policy.Request{Method: "POST", Path: "/orders", Headers: map[string]string{}}
	b.ReportAllocs()
	for b.Loop() {
		set.Decide(w, r)
	}
}
