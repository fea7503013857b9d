package match

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
)

func table(t *testing.T, c Config) *Table {
	t.Helper()
	out, err := Compile(c)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func route(name RouteName, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Shares: []Share{{Service: "s", Weight: 1}}}
}

func TestLongestPrefix(t *testing.T) {
	compiled := table(t, Config{Routes: []Route{
		route("root", "a.example", "/"), route("x", "a.example", "/x/"), route("xy", "a.example", "/x/y/"),
		route("other", "b.example", "/x/"),
	}})
	for _, c := range []struct {
		host, path string
		want       RouteName
	}{
		{"a.example", "/x/y/z", "xy"},
		{"a.example", "/x/y/", "xy"},
		{"a.example", "/x/y", "x"},
		{"a.example", "/xy/z", "root"},
		{"A.Example", "/x/1", "x"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	} {
		r, err := compiled.Route(c.host, c.path)
		var got RouteName
		if err == nil {
			got = r.Name
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s%s: %s", c.host, c.path, diff)
		}
	}
}

func TestCompileRejectsInvalidRoutes(t *testing.T) {
	for _, r := range []Route{route("a", "h", "x/"), route("b", "h", "/x"), {Name: "c", Prefix: "/"}} {
		_, err := Compile(Config{Routes: []Route{r}})
		if diff := cmp.Diff(Invalid, fault.KindOf[Kind](err)); diff != "" {
			t.Errorf("%s: %s", r.Name, diff)
		}
	}
}

func TestWorkspaceByKey(t *testing.T) {
	closed, open := route("closed", "h", "/c/"), route("open", "h", "/o/")
	open.Public = true
	compiled := table(t, Config{
		Routes: []Route{closed, open}, RequireKeys: true,
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	})
	for _, c := range []struct {
		route *Route
		key   string
		want  ident.Workspace
		kind  Kind
	}{
		{&closed, "k1", "w", ""},
		{&closed, "k2", "w", ""},
		{&closed, "k3", "", NoWorkspace},
		{&closed, "", "", NoWorkspace},
		{&open, "", "", ""},
		{&open, "k1", "w", ""},
	} {
		w, err := compiled.Workspace(c.route, c.key)
		if diff := cmp.Diff(c.kind, fault.KindOf[Kind](err)); diff != "" {
			t.Errorf("%s with %q: %s", c.route.Name, c.key, diff)
		}
		if w != nil && w.Name != c.want {
			t.Errorf("%s with %q: workspace %q, want %q", c.route.Name, c.key, w.Name, c.want)
		}
	}
}

func TestServiceByWeight(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[ident.Service]int{}
	reassigned := 0
	for i := range 10_000 {
		key := ident.NewChatKey("w", fmt.Sprint(i))
		before := r.ServiceOf(key)
		counts[before]++
		changed := Route{Shares: []Share{{"a", 80}, {"b", 20}, {"c", 0}}}
		if changed.ServiceOf(key) != before {
			reassigned++
		}
	}
	if counts["b"] < 900 || counts["b"] > 1100 || counts["c"] != 0 {
		t.Errorf("requests per service are %v, want about 9000 and 1000", counts)
	}
	if reassigned > 1300 {
		t.Errorf("%d of 10000 keys were reassigned after a tenth of the weight was shifted", reassigned)
	}
}
