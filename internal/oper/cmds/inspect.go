package cmds

import (
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"valescale/internal/oper/admin"
	"valescale/internal/plat/fault"
	"valescale/internal/share/peerpb"
)

// printMessage prints a message as one line of JSON, with the field names of the proto file.
func (c *console) printMessage(m proto.Message) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return fault.New("cmds.message", Refused, err)
	}
	c.printLine("%s", data)
	return nil
}

// formatTime formats a Unix time in milliseconds as RFC 3339 in UTC.
func formatTime(unixMS int64) string { return time.UnixMilli(unixMS).UTC().Format(time.RFC3339) }

// showCommand prints documents in force.
type showCommand struct {
	routerOptions
	Args struct {
		Kind string `positional-arg-name:"KIND" description:"service, workspace or policy"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (s *showCommand) Execute([]string) error {
	reply, err := call(&s.routerOptions, "cmds.show", peerpb.AdminServiceClient.Show, &peerpb.ShowRequest{Kind: s.Args.Kind, Name: s.Args.Name})
	if err != nil {
		return err
	}
	if s.JSON {
		return s.console.printMessage(reply)
	}
	s.console.printLine("; revision %d", reply.GetRevision())
	for _, d := range admin.DecodeDocuments(reply.GetDocuments()) {
		s.console.printLine("[%s %s]\n%s", d.ID.Kind, d.ID.Name, d.Text)
	}
	return nil
}

// historyCommand lists recorded changes.
type historyCommand struct {
	routerOptions
	Before uint64 `long:"before" description:"only changes before this revision"`
	Limit  uint32 `long:"limit" default:"20" description:"maximum number of changes"`
}

// Execute implements flags.Commander.
func (h *historyCommand) Execute([]string) error {
	reply, err := call(&h.routerOptions, "cmds.history", peerpb.AdminServiceClient.History, &peerpb.HistoryRequest{Before: h.Before, Limit: h.Limit})
	if err != nil {
		return err
	}
	for _, c := range reply.GetChanges() {
		if h.JSON {
			if err := h.console.printMessage(c); err != nil {
				return err
			}
			continue
		}
		h.console.printLine("%d  %s  %s  %d documents  %s", c.GetRevision(), formatTime(c.GetUnixMs()), c.GetOperator(), len(c.GetDocuments()), c.GetNote())
	}
	return nil
}

// auditCommand lists the audit trail: the change of each document with its operator.
type auditCommand struct {
	routerOptions
	Before uint64 `long:"before" description:"only changes before this revision"`
	Limit  uint32 `long:"limit" default:"20" description:"maximum number of rows"`
}

// Execute implements flags.Commander.
func (a *auditCommand) Execute([]string) error {
	reply, err := call(&a.routerOptions, "cmds.audit", peerpb.AdminServiceClient.Audit, &peerpb.AuditRequest{Before: a.Before, Limit: a.Limit})
	if err != nil {
		return err
	}
	for _, row := range reply.GetRows() {
		if a.JSON {
			if err := a.console.printMessage(row); err != nil {
				return err
			}
			continue
		}
		a.console.printLine("%d  %s  %s  %s  %s", row.GetRevision(), formatTime(row.GetUnixMs()), row.GetOperator(), row.GetDocument(), row.GetNote())
		for _, line := range lineDiff(row.GetBefore(), row.GetAfter()) {
			a.console.printLine("    %s", line)
		}
	}
	return nil
}

// statusCommand prints the state of a router and its membership view.
type statusCommand struct{ routerOptions }

// Execute implements flags.Commander.
func (s *statusCommand) Execute([]string) error {
	reply, err := call(&s.routerOptions, "cmds.status", peerpb.AdminServiceClient.Status, &peerpb.StatusRequest{})
	if err != nil {
		return err
	}
	if s.JSON {
		return s.console.printMessage(reply)
	}
	s.console.printLine("router %s  revision %d  ready %v  store up %v", reply.GetRouter(), reply.GetRevision(), reply.GetReady(), reply.GetStoreUp())
	for _, a := range reply.GetAlarms() {
		s.console.printLine("ALARM %s", a)
	}
	for _, member := range reply.GetMembers() {
		s.console.printLine("  router %s  %s  %s  %s  revision %d", member.GetMember().GetId(), member.GetMember().GetZone(),
			member.GetMember().GetAddr(), stateName(member.GetMember().GetState()), member.GetRevision())
	}
	for _, e := range reply.GetEngines() {
		s.console.printLine("  target %s  %s  %s  %s  in flight %d", e.GetId(), e.GetPool(), e.GetZone(), e.GetState(), e.GetInFlight())
	}
	return nil
}

func stateName(s peerpb.MemberState) string {
	switch s {
	case peerpb.MemberState_MEMBER_STATE_LIVE:
		return "live"
	case peerpb.MemberState_MEMBER_STATE_SUSPECT:
		return "suspect"
	case peerpb.MemberState_MEMBER_STATE_LEAVING:
		return "leaving"
	case peerpb.MemberState_MEMBER_STATE_DEAD:
		return "dead"
	default:
		return "unknown"
	}
}

// shadowCommand compares the decisions of candidate documents with those in force.
type shadowCommand struct {
	routerOptions
	Stop bool `long:"stop" description:"stop the comparison after printing its counts"`
	Args struct {
		Paths []string `positional-arg-name:"FILE" description:"candidate documents; without any, print the counts so far"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (s *shadowCommand) Execute([]string) error {
	request := &peerpb.ShadowRequest{Stop: s.Stop}
	if len(s.Args.Paths) > 0 {
		documents, err := readDocuments(s.Args.Paths)
		if err != nil {
			s.console.status = ExitInvalid
			return err
		}
		request.Documents = admin.EncodeDocuments(documents)
	}
	reply, err := call(&s.routerOptions, "cmds.shadow", peerpb.AdminServiceClient.Shadow, request)
	if err != nil {
		return err
	}
	if s.JSON {
		return s.console.printMessage(reply)
	}
	s.console.printLine("%d of %d decisions differ on this router", reply.GetDiffering(), reply.GetDecisions())
	for _, e := range reply.GetExamples() {
		s.console.printLine("  %s", e)
	}
	return nil
}

// claimCommand prints or releases the claim of a request.
type claimCommand struct {
	routerOptions
	GiveBack bool   `long:"give-back" description:"release the claim; use only if the request certainly did not run and never will"`
	Note     string `long:"note" description:"reason, recorded in the audit trail"`
	Args     struct {
		Workspace string `positional-arg-name:"WORKSPACE"`
		Key       string `positional-arg-name:"KEY" description:"the caller's idempotency key"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *claimCommand) Execute([]string) error {
	reply, err := call(&c.routerOptions, "cmds.claim", peerpb.AdminServiceClient.Claim, &peerpb.ClaimRequest{
		Workspace: c.Args.Workspace, Key: c.Args.Key, GiveBack: c.GiveBack, Note: c.Note,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return c.console.printMessage(reply)
	}
	c.console.printLine("%s  %s  attempt %s", reply.GetState(), formatTime(reply.GetUnixMs()), reply.GetAttempt())
	return nil
}
