package cmds

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"connectrpc.com/connect"

	"valescale/internal/plat/fault"
	"valescale/internal/rule/policy"
	"valescale/internal/share/peerpb"
)

// client returns the client of the router and a context for the whole command.
func (r *remote) client() (peerpb.AdminServiceClient, context.Context, context.CancelFunc, error) {
	token := os.Getenv("VALESCALE_TOKEN")
	if r.TokenFile != "" {
		data, err := os.ReadFile(r.TokenFile)
		if err != nil {
			return nil, nil, nil, fault.New("cmds.client", Unreadable, err)
		}
		token = strings.TrimSpace(string(data))
	}
	scheme := "http"
	transport := &http.Transport{}
	if r.CA != "" {
		data, err := os.ReadFile(r.CA)
		if err != nil {
			return nil, nil, nil, fault.New("cmds.client", Unreadable, err)
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(data) {
			return nil, nil, nil, fault.Newf("cmds.client", Unreadable, "%s holds no certificate", r.CA)
		}
		scheme = "https"
		transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots}
	}
	auth := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, req)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	c := peerpb.NewAdminServiceClient(&http.Client{Transport: transport}, scheme+"://"+r.Router, connect.WithInterceptors(auth))
	return c, ctx, cancel, nil
}

// readDocuments reads files, and the .ini files of directories.
func readDocuments(paths []string) ([]policy.Document, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, fault.New("cmds.readDocuments", Unreadable, err)
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		found, err := filepath.Glob(filepath.Join(path, "*.ini"))
		if err != nil {
			return nil, fault.New("cmds.readDocuments", Unreadable, err)
		}
		files = append(files, found...)
	}
	var out []policy.Document
	seen := map[policy.ID]string{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, fault.New("cmds.readDocuments", Unreadable, err)
		}
		documents, err := policy.Split(file, data)
		if err != nil {
			return nil, err
		}
		for _, d := range documents {
			if other, twice := seen[d.ID]; twice {
				return nil, fault.Newf("cmds.readDocuments", Unreadable, "%s stands in %s and in %s", d.ID, other, file)
			}
			seen[d.ID] = file
		}
		out = append(out, documents...)
	}
	if len(out) == 0 {
		return nil, fault.Newf("cmds.readDocuments", Unreadable, "no documents in %s", strings.Join(paths, ", "))
	}
	return out, nil
}

// changes returns the documents that differ from those in force; with prune also
// the deletion of those that are in force and not given.
func changes(given, force []policy.Document, prune bool) []policy.Document {
	before := map[policy.ID]string{}
	for _, d := range force {
		before[d.ID] = d.Text
	}
	var out []policy.Document
	kept := map[policy.ID]bool{}
	for _, d := range given {
		kept[d.ID] = true
		if text, ok := before[d.ID]; !ok || text != d.Text {
			out = append(out, d)
		}
	}
	for _, d := range force {
		if prune && !kept[d.ID] {
			out = append(out, policy.Document{ID: d.ID, Deleted: true})
		}
	}
	slices.SortFunc(out, func(a, b policy.Document) int { return strings.Compare(a.ID.String(), b.ID.String()) })
	return out
}

// lineDiff returns the lines that differ, the old ones with a minus. Documents are
// lines of key and value, so lines are compared as sets.
func lineDiff(before, after string) []string {
	old := strings.Split(strings.TrimSpace(before), "\n")
	fresh := strings.Split(strings.TrimSpace(after), "\n")
	var out []string
	for _, line := range old {
		if line != "" && !slices.Contains(fresh, line) {
			out = append(out, "- "+line)
		}
	}
	for _, line := range fresh {
		if line != "" && !slices.Contains(old, line) {
			out = append(out, "+ "+line)
		}
	}
	return out
}
