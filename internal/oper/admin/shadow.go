package admin

import (
	"fmt"
	"sync"

	"valescale/internal/rule/policy"
)

// maxExamples bounds the differing decisions that are kept to be shown.
const maxExamples = 10

// Shadow compares a candidate configuration's decisions with those in force. It
// changes nothing and sends nothing.
type Shadow struct {
	mu        sync.Mutex
	candidate *policy.Set
	decisions uint64
	differing uint64
	examples  []string
}

// NewShadow returns a shadow without a candidate.
func NewShadow() *Shadow { return &Shadow{} }

// Start begins to compare a candidate; nil ends the comparison.
func (s *Shadow) Start(candidate *policy.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.candidate = candidate
	s.decisions, s.differing, s.examples = 0, 0, nil
}

// Compare runs the candidate on a request that was just decided.
func (s *Shadow) Compare(w policy.Workspace, request *policy.Request, decision policy.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.candidate == nil {
		return
	}
	s.decisions++
	now, ok := s.candidate.Workspaces[w.Name]
	if !ok {
		s.differ(fmt.Sprintf("%s %s: workspace %s is gone", request.Method, request.Path, w.Name))
		return
	}
	if got := s.candidate.Decide(now, request); got != decision {
		s.differ(fmt.Sprintf("%s %s of %s: %+v instead of %+v", request.Method, request.Path, w.Name, got, decision))
	}
}

func (s *Shadow) differ(example string) {
	s.differing++
	if len(s.examples) < maxExamples {
		s.examples = append(s.examples, example)
	}
}

// Counts is what a shadow has compared.
type Counts struct {
	Decisions uint64
	Differing uint64
	Examples  []string
}

// Counts returns what was compared so far.
func (s *Shadow) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Decisions: s.decisions, Differing: s.differing, Examples: append([]string(nil), s.examples...)}
}
