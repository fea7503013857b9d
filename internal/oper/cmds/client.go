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
	"valescale/internal/plat/head"
	"valescale/internal/rule/policy"
	"valescale/internal/share/peerpb"
)

// client returns an admin client for the router, and a context with the timeout of the command.
// The token is read from the token file, or else from VALESCALE_TOKEN.
func (r *routerOptions) client() (peerpb.AdminServiceClient, context.Context, context.CancelFunc, error) {
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
			return nil, nil, nil, fault.Newf("cmds.client", Unreadable, "%s contains no PEM certificate", r.CA)
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
	c := peerpb.NewAdminServiceClient(&http.Client{Transport: head.Transport(transport)}, scheme+"://"+r.Router, connect.WithInterceptors(auth))
	return c, ctx, cancel, nil
}

// call calls one method of the router's admin service and returns the reply.
func call[Request, Reply any](
	r *routerOptions, op string,
	method func(peerpb.AdminServiceClient, context.Context, *connect.Request[Request]) (*connect.Response[Reply], error),
	request *Request,
) (*Reply, error) {
	client, ctx, cancel, err := r.client()
	if err != nil {
		return nil, err
	}
	defer cancel()
	reply, err := method(client, ctx, connect.NewRequest(request))
	if err != nil {
		return nil, fault.New(op, Refused, err)
	}
	return reply.Msg, nil
}

// readDocuments reads the documents of files and of the .ini files in directories. It fails if a
// document is defined twice or if there are no documents.
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
			if other, duplicate := seen[d.ID]; duplicate {
				return nil, fault.Newf("cmds.readDocuments", Unreadable, "%s is defined in %s and in %s", d.ID, other, file)
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

// changedDocuments returns the given documents that differ from the current ones. With prune it
// also returns deletions of the current documents that are not given.
func changedDocuments(given, current []policy.Document, prune bool) []policy.Document {
	currentText := map[policy.ID]string{}
	for _, d := range current {
		currentText[d.ID] = d.Text
	}
	var out []policy.Document
	isGiven := map[policy.ID]bool{}
	for _, d := range given {
		isGiven[d.ID] = true
		if text, ok := currentText[d.ID]; !ok || text != d.Text {
			out = append(out, d)
		}
	}
	for _, d := range current {
		if prune && !isGiven[d.ID] {
			out = append(out, policy.Document{ID: d.ID, Deleted: true})
		}
	}
	slices.SortFunc(out, func(a, b policy.Document) int { return strings.Compare(a.ID.String(), b.ID.String()) })
	return out
}

// lineDiff returns the removed lines, prefixed with a minus sign, and the added lines, prefixed with
// a plus sign. Documents consist of lines of a key and a value, so lines are compared as sets.
func lineDiff(before, after string) []string {
	oldLines := strings.Split(strings.TrimSpace(before), "\n")
	newLines := strings.Split(strings.TrimSpace(after), "\n")
	var out []string
	for _, line := range oldLines {
		if line != "" && !slices.Contains(newLines, line) {
			out = append(out, "- "+line)
		}
	}
	for _, line := range newLines {
		if line != "" && !slices.Contains(oldLines, line) {
			out = append(out, "+ "+line)
		}
	}
	return out
}
