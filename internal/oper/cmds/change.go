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

// paths are the files of a command that reads documents.
type paths struct {
	Paths []string `positional-arg-name:"FILE" required:"1" description:"INI files, or directories of them"`
}

// problemLine is a mistake as scripts see it.
type problemLine struct {
	Document string `json:"document"`
	Message  string `json:"message"`
}

// showProblems prints mistakes and sets the exit status.
func (r *remote) showProblems(problems []*peerpb.Problem) error {
	for _, p := range problems {
		if r.JSON {
			if err := r.console.print(problemLine{p.GetDocument(), p.GetMessage()}); err != nil {
				return err
			}
			continue
		}
		r.console.say("%s", p.GetMessage())
	}
	r.console.fail(Mistakes, "%d mistakes; nothing was changed", len(problems))
	return nil
}

// force returns what is in force.
func force(ctx context.Context, client peerpb.AdminServiceClient) ([]policy.Document, uint64, error) {
	reply, err := client.Show(ctx, connect.NewRequest(&peerpb.ShowRequest{}))
	if err != nil {
		return nil, 0, fault.New("cmds.force", Refused, err)
	}
	return admin.DecodeDocuments(reply.Msg.GetDocuments()), reply.Msg.GetRevision(), nil
}

// checkCommand checks documents.
type checkCommand struct {
	remote
	Offline bool  `long:"offline" description:"check the documents by themselves, without a router"`
	Args    paths `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *checkCommand) Execute([]string) error {
	documents, err := readDocuments(c.Args.Paths)
	if err != nil {
		c.console.status = Mistakes
		return err
	}
	if c.Offline {
		_, problems := policy.Compile(documents)
		var found []*peerpb.Problem
		for _, p := range problems {
			found = append(found, &peerpb.Problem{Document: p.Document.String(), Message: p.Err.Error()})
		}
		return c.report(found, len(documents))
	}
	client, ctx, cancel, err := c.client()
	if err != nil {
		return err
	}
	defer cancel()
	reply, err := client.Check(ctx, connect.NewRequest(&peerpb.CheckRequest{Documents: admin.EncodeDocuments(documents)}))
	if err != nil {
		return fault.New("cmds.check", Refused, err)
	}
	return c.report(reply.Msg.GetProblems(), len(documents))
}

func (c *checkCommand) report(problems []*peerpb.Problem, documents int) error {
	if len(problems) > 0 {
		return c.showProblems(problems)
	}
	c.console.say("%d documents are right", documents)
	return nil
}

// diffCommand compares documents with those in force.
type diffCommand struct {
	remote
	Prune bool  `long:"prune" description:"also show what is in force and not in the files"`
	Args  paths `positional-args:"yes" required:"yes"`
}

// diffLine is a difference as scripts see it.
type diffLine struct {
	Document string   `json:"document"`
	Lines    []string `json:"lines"`
}

// Execute runs the command.
func (d *diffCommand) Execute([]string) error {
	documents, err := readDocuments(d.Args.Paths)
	if err != nil {
		d.console.status = Mistakes
		return err
	}
	client, ctx, cancel, err := d.client()
	if err != nil {
		return err
	}
	defer cancel()
	now, _, err := force(ctx, client)
	if err != nil {
		return err
	}
	changed := changes(documents, now, d.Prune)
	if len(changed) > 0 {
		d.console.status = Differs
	}
	return d.show(changed, now)
}

// show prints what changes would do to the documents in force.
func (r *remote) show(changed, now []policy.Document) error {
	before := map[policy.ID]string{}
	for _, d := range now {
		before[d.ID] = d.Text
	}
	for _, d := range changed {
		lines := lineDiff(before[d.ID], d.Text)
		if r.JSON {
			if err := r.console.print(diffLine{d.ID.String(), lines}); err != nil {
				return err
			}
			continue
		}
		r.console.say("[%s %s]\n%s", d.ID.Kind, d.ID.Name, strings.Join(lines, "\n"))
	}
	return nil
}

// applyCommand puts documents in force.
type applyCommand struct {
	remote
	Prune    bool          `long:"prune" description:"delete what is in force and not in the files"`
	Note     string        `long:"note" description:"why, for the audit trail"`
	ChangeID string        `long:"change-id" description:"id of the change; the same id again never changes twice"`
	Base     uint64        `long:"base" description:"revision that the change was made against; default is the one in force"`
	Wait     time.Duration `long:"wait" default:"20s" description:"how long to wait until every router has it in force"`
	Args     paths         `positional-args:"yes" required:"yes"`
}

// applyLine is an applied change as scripts see it.
type applyLine struct {
	Revision    uint64   `json:"revision"`
	ChangeID    string   `json:"change_id"`
	Accepted    bool     `json:"accepted"`
	Outstanding []string `json:"outstanding,omitempty"`
}

// Execute runs the command.
func (a *applyCommand) Execute([]string) error {
	documents, err := readDocuments(a.Args.Paths)
	if err != nil {
		a.console.status = Mistakes
		return err
	}
	client, ctx, cancel, err := a.client()
	if err != nil {
		return err
	}
	defer cancel()
	now, revision, err := force(ctx, client)
	if err != nil {
		return err
	}
	if a.Base == 0 {
		a.Base = revision
	}
	if a.ChangeID == "" {
		a.ChangeID = string(claim.NewAttempt())
	}
	changed := changes(documents, now, a.Prune)
	if len(changed) == 0 {
		a.console.say("nothing differs from revision %d", revision)
		return nil
	}
	reply, err := client.Apply(ctx, connect.NewRequest(&peerpb.ApplyRequest{
		Documents: admin.EncodeDocuments(changed), Base: a.Base, ChangeId: a.ChangeID, Note: a.Note,
	}))
	if err != nil {
		return fault.Newf("cmds.apply", Refused, "%v; if in doubt, run it again with --change-id %s", err, a.ChangeID)
	}
	m := reply.Msg
	switch {
	case len(m.GetProblems()) > 0:
		return a.showProblems(m.GetProblems())
	case m.GetConflict():
		a.console.fail(Conflicted, "changed since revision %d; this is how they stand at %d:", a.Base, m.GetHead())
		return a.show(changed, admin.DecodeDocuments(m.GetTheirs()))
	}
	return a.await(ctx, client, m.GetRevision())
}

// pollAccepted is how often the command asks whether a change is accepted.
const pollAccepted = 100 * time.Millisecond

// await waits until a revision is in force on every router.
func (a *applyCommand) await(ctx context.Context, client peerpb.AdminServiceClient, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, a.Wait)
	defer cancel()
	ticker := time.NewTicker(pollAccepted)
	defer ticker.Stop()
	line := applyLine{Revision: revision, ChangeID: a.ChangeID}
	for {
		reply, err := client.Accepted(ctx, connect.NewRequest(&peerpb.AcceptedRequest{Revision: revision}))
		if err == nil {
			line.Accepted, line.Outstanding = reply.Msg.GetAccepted(), reply.Msg.GetOutstanding()
		}
		if line.Accepted {
			break
		}
		select {
		case <-ctx.Done():
			a.console.status = NotAccepted
		case <-ticker.C:
			continue
		}
		break
	}
	if a.JSON {
		return a.console.print(line)
	}
	if line.Accepted {
		a.console.say("revision %d is in force on every router", revision)
		return nil
	}
	a.console.say("revision %d is recorded; outstanding: %s", revision, strings.Join(line.Outstanding, ", "))
	return nil
}
