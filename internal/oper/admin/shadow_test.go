package admin_test

import (
	"fmt"
	"strings"
	"testing"

	"valescale/internal/oper/admin"
	"valescale/internal/rule/policy"
)

const documents = `
[service judge]
kind = engine
[policy runs]
service = "judge"
priority = %s
[workspace bogota]
policy = runs
`

func compile(t *testing.T, priority string) *policy.Set {
	t.Helper()
	docs, err := policy.Split("shadow.ini", fmt.Appendf(nil, documents, priority))
	if err != nil {
		t.Fatal(err)
	}
	set, problems := policy.Compile(docs)
	if problems != nil {
		t.Fatal(problems)
	}
	return set
}

func TestShadowCountsDifferingDecisions(t *testing.T) {
	inForce := compile(t, "5")
	w := inForce.Workspaces["bogota"]
	s := admin.NewShadow()
	decide := func(path string) {
		r := &policy.Request{Method: "GET", Path: path}
		s.Compare(w, r, inForce.Decide(w, r))
	}
	decide("/before")
	s.Start(compile(t, `request.path == "/slow" ? 1 : 5`))
	for range 3 {
		decide("/same")
	}
	decide("/slow")
	got := s.Counts()
	if got.Decisions != 4 || got.Differing != 1 || len(got.Examples) != 1 || !strings.Contains(got.Examples[0], "GET /slow of bogota") {
		t.Errorf("got %+v, want 1 of 4 decisions to differ, for /slow", got)
	}
	s.Start(nil)
	decide("/after")
	if got := s.Counts(); got.Decisions != 0 {
		t.Errorf("%d decisions compared after the comparison was stopped, want 0", got.Decisions)
	}
}

func TestShadowCountsMissingWorkspaceAsDifference(t *testing.T) {
	inForce := compile(t, "5")
	candidate := compile(t, "5")
	delete(candidate.Workspaces, "bogota")
	s := admin.NewShadow()
	s.Start(candidate)
	w := inForce.Workspaces["bogota"]
	r := &policy.Request{Method: "GET", Path: "/"}
	s.Compare(w, r, inForce.Decide(w, r))
	if got := s.Counts(); got.Differing != 1 {
		t.Errorf("got %+v, want 1 differing decision", got)
	}
}
