package admin

import (
	"fmt"
	"sync"

	"valescale/internal/rule/policy"
)

// maxExamples limits the differing decisions that are kept as examples.
const maxExamples = 10

// Shadow compares the decisions of a candidate configuration with those of the configuration
// in force. It affects no request.
type Shadow struct {
	mu        sync.Mutex
	candidate *policy.Set
	decisions uint64
	differing uint64
	examples  []string
}

// NewShadow returns a shadow without a candidate.
func NewShadow() *Shadow { return &Shadow{} }

// Start resets the counts and starts the comparison with a candidate; nil stops it.
func (s *Shadow) Start(candidate *policy.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.candidate = candidate
	s.decisions, s.differing, s.examples = 0, 0, nil
}

// Compare evaluates the candidate for a request and compares the result with the decision
// made under the configuration in force.
func (s *Shadow) Compare(w policy.Workspace, request *policy.Request, decision policy.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.candidate == nil {
		return
	}
	s.decisions++
	workspace, ok := s.candidate.Workspaces[w.Name]
	if !ok {
		s.recordDifference(fmt.Sprintf("%s %s: workspace %s is gone", request.Method, request.Path, w.Name))
		return
	}
	if got := s.candidate.Decide(workspace, request); got != decision {
		s.recordDifference(fmt.Sprintf("%s %s of %s: %+v instead of %+v", request.Method, request.Path, w.Name, got, decision))
	}
}

func (s *Shadow) recordDifference(example string) {
	s.differing++
	if len(s.examples) < maxExamples {
		s.examples = append(s.examples, example)
	}
}

// Counts are the results of a comparison.
type Counts struct {
	Decisions uint64
	Differing uint64
	Examples  []string
}

// Counts returns the results of the comparison so far.
func (s *Shadow) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Decisions: s.decisions, Differing: s.differing, Examples: append([]string(nil), s.examples...)}
}
