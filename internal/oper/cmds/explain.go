package cmds

import (
	"io"
	"os"
	"strings"
	"time"

	"valescale/internal/oper/trace"
	"valescale/internal/plat/fault"
)

// explainCommand tells from logs what became of requests.
type explainCommand struct {
	Request    string                   `long:"request" value-name:"ID" description:"tell this request's story instead of what was lost"`
	Weights    map[string]float64       `long:"weight" value-name:"ROUTE:WORTH" description:"what a request of a route is worth; others count one"`
	Objectives map[string]time.Duration `long:"objective" value-name:"ROUTE:TIME" description:"how long an answer of a route may take to its first byte"`
	Plot       string                   `long:"plot" value-name:"FILE" description:"draw the requests answered in time and lost by second (.png, .svg or .pdf)"`
	Most       int                      `long:"most" default:"10" description:"how many rows of each table are printed"`
	JSON       bool                     `long:"json" description:"print JSON"`
	Args       struct {
		Files []string `positional-arg-name:"FILE" description:"logs of any number of routers; none reads standard input"`
	} `positional-args:"yes"`

	console *console
}

// Execute runs the command.
func (e *explainCommand) Execute([]string) error {
	sources, closeAll, err := openLogs(e.Args.Files)
	if err != nil {
		return err
	}
	defer closeAll()
	if e.Request != "" {
		return e.story(sources)
	}
	return e.losses(sources)
}

// openLogs opens files, or standard input without any, and returns what closes them.
func openLogs(files []string) ([]trace.Source, func(), error) {
	if len(files) == 0 {
		return []trace.Source{{Name: "standard input", Reader: os.Stdin}}, func() {}, nil
	}
	var sources []trace.Source
	var open []io.Closer
	closeAll := func() {
		for _, f := range open {
			// It was only read.
			_ = f.Close()
		}
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, fault.New("cmds.explain", Unreadable, err)
		}
		open = append(open, f)
		sources = append(sources, trace.Source{Name: name, Reader: f})
	}
	return sources, closeAll, nil
}

// story prints one request's story.
func (e *explainCommand) story(sources []trace.Source) error {
	story, err := trace.ReadTimeline(sources, trace.RequestID(e.Request))
	if err != nil {
		return err
	}
	if len(story.Events) == 0 {
		e.console.fail(Failure, "no line names request %s; %d lines could not be read", e.Request, story.BadLines.Count)
		return nil
	}
	if e.JSON {
		return e.console.print(story)
	}
	for _, s := range story.Events {
		e.console.say("%s %s %s  %s", s.Time.Format(time.RFC3339Nano), s.Router, s.Message, strings.Join(s.Fields, " "))
	}
	if story.Omitted > 0 {
		e.console.say("%d more lines", story.Omitted)
	}
	e.bad(story.BadLines)
	return nil
}

// losses prints what was lost.
func (e *explainCommand) losses(sources []trace.Source) error {
	losses, err := trace.Summarize(sources, trace.Criteria{Weights: e.Weights, Objectives: e.Objectives})
	if err != nil {
		return err
	}
	if e.Plot != "" {
		if err := losses.Plot(e.Plot); err != nil {
			return err
		}
	}
	if e.JSON {
		return e.console.print(losses)
	}
	e.console.say("%d requests ended, %d lost, worth %.1f", losses.Ended, losses.Lost, losses.Worth)
	e.table("cause", losses.Causes)
	e.table("route", losses.Routes)
	e.table("workspace", losses.Workspaces)
	e.table("router", losses.Routers)
	e.table("target", losses.Targets)
	e.seconds(losses.Seconds)
	e.bad(losses.BadLines)
	return nil
}

// table prints the worst rows.
func (e *explainCommand) table(name string, rows []trace.Row) {
	if len(rows) == 0 {
		return
	}
	e.console.say("\n%-28s %8s %8s %10s", name, "ended", "lost", "worth")
	for _, row := range rows[:min(len(rows), e.Most)] {
		key := row.Key
		if key == "" {
			key = "(none)"
		}
		e.console.say("%-28s %8d %8d %10.1f", key, row.Ended, row.Lost, row.Worth)
	}
	if more := len(rows) - e.Most; more > 0 {
		e.console.say("%d more", more)
	}
}

// seconds prints each second in which something was lost.
func (e *explainCommand) seconds(all []trace.Second) {
	if len(all) == 0 {
		return
	}
	e.console.say("\n%-28s %8s %8s", "second", "in time", "lost")
	for _, s := range all {
		if s.Lost > 0 {
			e.console.say("%-28s %8d %8d", time.Unix(s.Unix, 0).UTC().Format(time.RFC3339), s.Good, s.Lost)
		}
	}
}

// bad prints which lines could not be read.
func (e *explainCommand) bad(bad trace.BadLines) {
	if bad.Count == 0 {
		return
	}
	e.console.say("\n%d lines could not be read, the first:", bad.Count)
	for _, b := range bad.First {
		e.console.say("%s:%d: %s", b.Source, b.Line, b.Error)
	}
}
