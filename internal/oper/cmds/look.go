package cmds

import (
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"valescale/internal/oper/admin"
	"valescale/internal/plat/fault"
	"valescale/internal/share/peerpb"
)

// message prints an answer as one line of JSON in snake case.
func (c *console) message(m proto.Message) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return fault.New("cmds.message", Refused, err)
	}
	c.say("%s", data)
	return nil
}

// when is a time as people read it.
func when(unixMS int64) string { return time.UnixMilli(unixMS).UTC().Format(time.RFC3339) }

// showCommand shows documents in force.
type showCommand struct {
	remote
	Args struct {
		Kind string `positional-arg-name:"KIND" description:"service, workspace or policy"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (s *showCommand) Execute([]string) error {
	client, ctx, cancel, err := s.client()
	if err != nil {
		return err
	}
	defer cancel()
	reply, err := client.Show(ctx, connect.NewRequest(&peerpb.ShowRequest{Kind: s.Args.Kind, Name: s.Args.Name}))
	if err != nil {
		return fault.New("cmds.show", Refused, err)
	}
	if s.JSON {
		return s.console.message(reply.Msg)
	}
	s.console.say("; revision %d", reply.Msg.GetRevision())
	for _, d := range admin.DecodeDocuments(reply.Msg.GetDocuments()) {
		s.console.say("[%s %s]\n%s", d.ID.Kind, d.ID.Name, d.Text)
	}
	return nil
}

// historyCommand lists changes.
type historyCommand struct {
	remote
	Before uint64 `long:"before" description:"only changes before this revision"`
	Limit  uint32 `long:"limit" default:"20" description:"how many at most"`
}

// Execute runs the command.
func (h *historyCommand) Execute([]string) error {
	client, ctx, cancel, err := h.client()
	if err != nil {
		return err
	}
	defer cancel()
	reply, err := client.History(ctx, connect.NewRequest(&peerpb.HistoryRequest{Before: h.Before, Limit: h.Limit}))
	if err != nil {
		return fault.New("cmds.history", Refused, err)
	}
	for _, c := range reply.Msg.GetChanges() {
		if h.JSON {
			if err := h.console.message(c); err != nil {
				return err
			}
			continue
		}
		h.console.say("%d  %s  %s  %d documents  %s", c.GetRevision(), when(c.GetUnixMs()), c.GetOperator(), len(c.GetDocuments()), c.GetNote())
	}
	return nil
}

// auditCommand lists who changed what.
type auditCommand struct {
	remote
	Before uint64 `long:"before" description:"only changes before this revision"`
	Limit  uint32 `long:"limit" default:"20" description:"how many rows at most"`
}

// Execute runs the command.
func (a *auditCommand) Execute([]string) error {
	client, ctx, cancel, err := a.client()
	if err != nil {
		return err
	}
	defer cancel()
	reply, err := client.Audit(ctx, connect.NewRequest(&peerpb.AuditRequest{Before: a.Before, Limit: a.Limit}))
	if err != nil {
		return fault.New("cmds.audit", Refused, err)
	}
	for _, row := range reply.Msg.GetRows() {
		if a.JSON {
			if err := a.console.message(row); err != nil {
				return err
			}
			continue
		}
		a.console.say("%d  %s  %s  %s  %s", row.GetRevision(), when(row.GetUnixMs()), row.GetOperator(), row.GetDocument(), row.GetNote())
		for _, line := range lineDiff(row.GetBefore(), row.GetAfter()) {
			a.console.say("    %s", line)
		}
	}
	return nil
}

// statusCommand shows a router's state.
type statusCommand struct{ remote }

// Execute runs the command.
func (s *statusCommand) Execute([]string) error {
	client, ctx, cancel, err := s.client()
	if err != nil {
		return err
	}
	defer cancel()
	reply, err := client.Status(ctx, connect.NewRequest(&peerpb.StatusRequest{}))
	if err != nil {
		return fault.New("cmds.status", Refused, err)
	}
	m := reply.Msg
	if s.JSON {
		return s.console.message(m)
	}
	s.console.say("router %s  revision %d  ready %v  store up %v", m.GetRouter(), m.GetRevision(), m.GetReady(), m.GetStoreUp())
	for _, a := range m.GetAlarms() {
		s.console.say("ALARM %s", a)
	}
	for _, member := range m.GetMembers() {
		s.console.say("  router %s  %s  %s  %s  revision %d", member.GetMember().GetId(), member.GetMember().GetZone(),
			member.GetMember().GetAddr(), stateName(member.GetMember().GetState()), member.GetRevision())
	}
	for _, e := range m.GetEngines() {
		s.console.say("  target %s  %s  %s  %s  in flight %d", e.GetId(), e.GetPool(), e.GetZone(), e.GetState(), e.GetInFlight())
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

// shadowCommand compares a candidate with what is in force.
type shadowCommand struct {
	remote
	Stop bool `long:"stop" description:"end the comparison after printing its counts"`
	Args struct {
		Paths []string `positional-arg-name:"FILE" description:"candidate documents; none prints the counts so far"`
	} `positional-args:"yes"`
}

// Execute runs the command.
func (s *shadowCommand) Execute([]string) error {
	request := &peerpb.ShadowRequest{Stop: s.Stop}
	if len(s.Args.Paths) > 0 {
		documents, err := readDocuments(s.Args.Paths)
		if err != nil {
			s.console.status = Mistakes
			return err
		}
		request.Documents = admin.EncodeDocuments(documents)
	}
	client, ctx, cancel, err := s.client()
	if err != nil {
		return err
	}
	defer cancel()
	reply, err := client.Shadow(ctx, connect.NewRequest(request))
	if err != nil {
		return fault.New("cmds.shadow", Refused, err)
	}
	if s.JSON {
		return s.console.message(reply.Msg)
	}
	s.console.say("%d of %d decisions differ on this router", reply.Msg.GetDiffering(), reply.Msg.GetDecisions())
	for _, e := range reply.Msg.GetExamples() {
		s.console.say("  %s", e)
	}
	return nil
}

// claimCommand shows a claim or gives it back.
type claimCommand struct {
	remote
	GiveBack bool   `long:"give-back" description:"give the claim back; only when it is known that the request did not run and never will"`
	Note     string `long:"note" description:"why, for the audit trail"`
	Args     struct {
		Workspace string `positional-arg-name:"WORKSPACE"`
		Key       string `positional-arg-name:"KEY" description:"the caller's idempotency key"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs the command.
func (c *claimCommand) Execute([]string) error {
	client, ctx, cancel, err := c.client()
	if err != nil {
		return err
	}
	defer cancel()
	reply, err := client.Claim(ctx, connect.NewRequest(&peerpb.ClaimRequest{
		Workspace: c.Args.Workspace, Key: c.Args.Key, GiveBack: c.GiveBack, Note: c.Note,
	}))
	if err != nil {
		return fault.New("cmds.claim", Refused, err)
	}
	if c.JSON {
		return c.console.message(reply.Msg)
	}
	c.console.say("%s  %s  attempt %s", reply.Msg.GetState(), when(reply.Msg.GetUnixMs()), reply.Msg.GetAttempt())
	return nil
}
