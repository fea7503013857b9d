package policy

import (
	"sort"

	"valescale/internal/plat/fault"
	"valescale/internal/plat/ident"
)

// Set is a compiled configuration.
type Set struct {
	Services   map[ident.Service]Service
	Workspaces map[ident.Workspace]Workspace
	Policies   map[string]*Policy
	tokens     map[TokenHash]ident.Workspace
	certs      map[string]ident.Workspace
}

// Compile builds a set from documents. It returns all errors found; the set is nil if there is one.
func Compile(documents []Document) (*Set, []Problem) {
	s := &Set{
		Services:   map[ident.Service]Service{},
		Workspaces: map[ident.Workspace]Workspace{},
		Policies:   map[string]*Policy{},
		tokens:     map[TokenHash]ident.Workspace{},
		certs:      map[string]ident.Workspace{},
	}
	documents = append([]Document(nil), documents...)
	sort.Slice(documents, func(i, j int) bool { return documents[i].Less(documents[j]) })
	problems := s.addServices(documents)
	problems = append(problems, s.addPolicies(documents)...)
	problems = append(problems, s.addWorkspaces(documents)...)
	if len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

// ofKind returns the documents of a kind that are not deleted.
func ofKind(documents []Document, kind DocumentKind) []Document {
	var out []Document
	for _, d := range documents {
		if d.ID.Kind == kind && !d.Deleted {
			out = append(out, d)
		}
	}
	return out
}

func (s *Set) addServices(documents []Document) (problems []Problem) {
	for _, d := range ofKind(documents, ServiceKind) {
		service, err := compileService(d)
		if err != nil {
			problems = append(problems, newProblem(d.ID, err))
		}
		s.Services[service.Name] = service
	}
	return problems
}

func (s *Set) addPolicies(documents []Document) (problems []Problem) {
	env, err := newEnv()
	if err != nil {
		return []Problem{newProblem(ID{}, err)}
	}
	for _, d := range ofKind(documents, PolicyKind) {
		compiled, err := compilePolicy(env, d, s.Services)
		if err != nil {
			problems = append(problems, newProblem(d.ID, err))
			continue
		}
		s.Policies[d.ID.Name] = compiled
	}
	return problems
}

func (s *Set) addWorkspaces(documents []Document) (problems []Problem) {
	for _, d := range ofKind(documents, WorkspaceKind) {
		w, err := compileWorkspace(d)
		if err == nil {
			err = s.addIdentities(d.ID, w)
		}
		if err == nil && s.Policies[w.Policy] == nil {
			err = fault.Newf("policy.Compile", Invalid, "%s: policy: %q does not exist", d.ID, w.Policy)
		}
		if err != nil {
			problems = append(problems, newProblem(d.ID, err))
			continue
		}
		s.Workspaces[w.Name] = w
	}
	return problems
}

// addIdentities registers a workspace's tokens and certificates. It rejects one that is already
// assigned to another workspace.
func (s *Set) addIdentities(id ID, w Workspace) error {
	for _, token := range w.Tokens {
		if other, taken := s.tokens[token]; taken {
			return fault.Newf("policy.Compile", Invalid, "%s: token_sha256: %s is already assigned to workspace %s", id, token, other)
		}
		s.tokens[token] = w.Name
	}
	for _, cert := range w.Certs {
		if other, taken := s.certs[cert]; taken {
			return fault.Newf("policy.Compile", Invalid, "%s: certs: %s is already assigned to workspace %s", id, cert, other)
		}
		s.certs[cert] = w.Name
	}
	return nil
}

// ByToken returns the workspace of a bearer token.
func (s *Set) ByToken(token string) (Workspace, bool) {
	name, ok := s.tokens[HashToken(token)]
	return s.Workspaces[name], ok
}

// ByCert returns the workspace of a client certificate's common name.
func (s *Set) ByCert(name string) (Workspace, bool) {
	workspace, ok := s.certs[name]
	return s.Workspaces[workspace], ok
}

// Decide evaluates the workspace's policy for a request.
func (s *Set) Decide(w Workspace, r *Request) Decision {
	return s.Policies[w.Policy].Decide(r)
}
