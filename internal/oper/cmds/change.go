package cmds

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"

	"valescale/internal/oper/admin"
	"valescale/internal/plat/fault"
	"valescale/internal/rule/policy"
	"valescale/internal/share/claim"
	"valescale/internal/share/peerpb"
)

// documentArgs contains the arguments of commands that read documents.
type documentArgs struct {
	Paths []string `positional-arg-name:"FILE" required:"1" description:"INI files, or directories with .ini files"`
}

// problemLine is the JSON output for an invalid document.
type problemLine struct {
	Document string `json:"document"`
	Message  string `json:"message"`
}

// printProblems prints the problems of documents and sets the exit status to ExitInvalid.
func (r *routerOptions) printProblems(problems []*peerpb.Problem) error {
	for _, p := range problems {
		if r.JSON {
			if err := r.console.printJSON(problemLine{p.GetDocument(), p.GetMessage()}); err != nil {
				return err
			}
			continue
		}
		r.console.printLine("%s", p.GetMessage())
	}
	r.console.fail(ExitInvalid, "%d errors found; nothing was changed", len(problems))
	return nil
}

// currentDocuments returns the documents in force and their revision.
func currentDocuments(ctx context.Context, client peerpb.AdminServiceClient) ([]policy.Document, uint64, error) {
	reply, err := client.Show(ctx, connect.NewRequest(&peerpb.ShowRequest{}))
	if err != nil {
		return nil, 0, fault.New("cmds.force", Refused, err)
	}
	return admin.DecodeDocuments(reply.Msg.GetDocuments()), reply.Msg.GetRevision(), nil
}

// checkCommand validates documents.
type checkCommand struct {
	routerOptions
	Offline bool         `long:"offline" description:"check the documents alone, without a router"`
	Args    documentArgs `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	documents, err := readDocuments(c.Args.Paths)
	if err != nil {
		c.console.status = ExitInvalid
		return err
	}
	if c.Offline {
		_, problems := policy.Compile(documents)
		return c.report(admin.EncodeProblems(problems), len(documents))
	}
	reply, err := call(&c.routerOptions, "cmds.check", peerpb.AdminServiceClient.Check, &peerpb.CheckRequest{Documents: admin.EncodeDocuments(documents)})
	if err != nil {
		return err
	}
	return c.report(reply.GetProblems(), len(documents))
}

// report prints the problems found, or the number of valid documents if there are none.
func (c *checkCommand) report(problems []*peerpb.Problem, documents int) error {
	if len(problems) > 0 {
		return c.printProblems(problems)
	}
	c.console.printLine("%d documents are valid", documents)
	return nil
}

// diffCommand compares documents with those in force.
type diffCommand struct {
	routerOptions
	Prune bool         `long:"prune" description:"also show documents that are in force but not in the files"`
	Args  documentArgs `positional-args:"yes" required:"yes"`
}

// diffLine is the JSON output for a changed document.
type diffLine struct {
	Document string   `json:"document"`
	Lines    []string `json:"lines"`
}

// Execute implements flags.Commander.
func (d *diffCommand) Execute([]string) error {
	documents, err := readDocuments(d.Args.Paths)
	if err != nil {
		d.console.status = ExitInvalid
		return err
	}
	client, ctx, cancel, err := d.client()
	if err != nil {
		return err
	}
	defer cancel()
	current, _, err := currentDocuments(ctx, client)
	if err != nil {
		return err
	}
	changed := changedDocuments(documents, current, d.Prune)
	if len(changed) > 0 {
		d.console.status = ExitDiffers
	}
	return d.printChanges(changed, current)
}

// printChanges prints the line differences between the documents in force and the changed ones.
func (r *routerOptions) printChanges(changed, current []policy.Document) error {
	before := map[policy.ID]string{}
	for _, d := range current {
		before[d.ID] = d.Text
	}
	for _, d := range changed {
		lines := lineDiff(before[d.ID], d.Text)
		if r.JSON {
			if err := r.console.printJSON(diffLine{d.ID.String(), lines}); err != nil {
				return err
			}
			continue
		}
		r.console.printLine("[%s %s]\n%s", d.ID.Kind, d.ID.Name, strings.Join(lines, "\n"))
	}
	return nil
}

// applyCommand records documents and waits until they are in force.
type applyCommand struct {
	routerOptions
	Prune    bool          `long:"prune" description:"delete documents that are in force but not in the files"`
	Note     string        `long:"note" description:"reason for the change, recorded in the audit trail"`
	ChangeID string        `long:"change-id" description:"id of the change; a repeated change with the same id is applied only once"`
	Base     uint64        `long:"base" description:"revision that the change is based on; default is the revision in force"`
	Wait     time.Duration `long:"wait" default:"20s" description:"maximum time to wait until the change is in force on every router"`
	Args     documentArgs  `positional-args:"yes" required:"yes"`
}

// applyLine is the JSON output for an applied change.
type applyLine struct {
	Revision    uint64   `json:"revision"`
	ChangeID    string   `json:"change_id"`
	Accepted    bool     `json:"accepted"`
	Outstanding []string `json:"outstanding,omitempty"`
}

// Execute implements flags.Commander.
func (a *applyCommand) Execute([]string) error {
	documents, err := readDocuments(a.Args.Paths)
	if err != nil {
		a.console.status = ExitInvalid
		return err
	}
	client, ctx, cancel, err := a.client()
	if err != nil {
		return err
	}
	defer cancel()
	current, revision, err := currentDocuments(ctx, client)
	if err != nil {
		return err
	}
	changed := changedDocuments(documents, current, a.Prune)
	if len(changed) == 0 {
		a.console.printLine("no differences from revision %d", revision)
		return nil
	}
	if a.Base == 0 {
		a.Base = revision
	}
	if a.ChangeID == "" {
		a.ChangeID = string(claim.NewAttempt())
	}
	reply, err := a.record(ctx, client, changed)
	if err != nil {
		return err
	}
	switch {
	case len(reply.GetProblems()) > 0:
		return a.printProblems(reply.GetProblems())
	case reply.GetConflict():
		a.console.fail(ExitConflict, "documents changed since revision %d; differences from revision %d:", a.Base, reply.GetHead())
		return a.printChanges(changed, admin.DecodeDocuments(reply.GetTheirs()))
	}
	line := a.awaitAccepted(ctx, client, reply.GetRevision())
	if !line.Accepted {
		a.console.status = ExitNotAccepted
	}
	return a.print(line)
}

// record sends the changed documents to the router, which records them as one change.
func (a *applyCommand) record(ctx context.Context, client peerpb.AdminServiceClient, changed []policy.Document) (*peerpb.ApplyReply, error) {
	reply, err := client.Apply(ctx, connect.NewRequest(&peerpb.ApplyRequest{
		Documents: admin.EncodeDocuments(changed), Base: a.Base, ChangeId: a.ChangeID, Note: a.Note,
	}))
	if err != nil {
		return nil, fault.Newf("cmds.apply", Refused, "%v; to retry safely, repeat the command with --change-id %s", err, a.ChangeID)
	}
	return reply.Msg, nil
}

// acceptedPollInterval is the interval at which the command checks whether a change is accepted.
const acceptedPollInterval = 100 * time.Millisecond

// awaitAccepted waits until a revision is in force on every router, or until the wait time is
// over, and returns the latest state of the change.
func (a *applyCommand) awaitAccepted(ctx context.Context, client peerpb.AdminServiceClient, revision uint64) applyLine {
	ctx, cancel := context.WithTimeout(ctx, a.Wait)
	defer cancel()
	ticker := time.NewTicker(acceptedPollInterval)
	defer ticker.Stop()
	line := applyLine{Revision: revision, ChangeID: a.ChangeID}
	for {
		reply, err := client.Accepted(ctx, connect.NewRequest(&peerpb.AcceptedRequest{Revision: revision}))
		if err == nil {
			line.Accepted, line.Outstanding = reply.Msg.GetAccepted(), reply.Msg.GetOutstanding()
		}
		if line.Accepted {
			return line
		}
		select {
		case <-ctx.Done():
			return line
		case <-ticker.C:
		}
	}
}

// print prints the state of an applied change.
func (a *applyCommand) print(line applyLine) error {
	switch {
	case a.JSON:
		return a.console.printJSON(line)
	case line.Accepted:
		a.console.printLine("revision %d is in force on every router", line.Revision)
	default:
		a.console.printLine("revision %d is recorded; outstanding routers: %s", line.Revision, strings.Join(line.Outstanding, ", "))
	}
	return nil
}
