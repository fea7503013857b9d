package cmds

import (
	"strings"
	"time"

	"valescale/internal/oper/trace"
)

// explainCommand prints the timeline of a request, or a summary of the lost requests, from logs.
type explainCommand struct {
	Request    string                   `long:"request" value-name:"ID" description:"print the log lines of this request instead of a summary of lost requests"`
	Weights    map[string]float64       `long:"weight" value-name:"ROUTE:WORTH" description:"weight of a lost request of a route; default is 1"`
	Objectives map[string]time.Duration `long:"objective" value-name:"ROUTE:TIME" description:"maximum time to first byte of answers of a route"`
	Plot       string                   `long:"plot" value-name:"FILE" description:"plot requests answered in time and lost requests by second (.png, .svg or .pdf)"`
	MaxRows    int                      `long:"most" default:"10" description:"maximum number of rows of each table"`
	JSON       bool                     `long:"json" description:"print JSON"`
	Args       struct {
		Files []string `positional-arg-name:"FILE" description:"logs of one or more routers; default is standard input"`
	} `positional-args:"yes"`

	console *console
}

// Execute implements flags.Commander.
func (e *explainCommand) Execute([]string) error {
	logs := logFiles(e.Args.Files)
	if e.Request == "" {
		return e.losses(logs)
	}
	logs, removeCopies, err := rereadable(logs)
	if err != nil {
		return err
	}
	defer removeCopies()
	return e.timeline(logs)
}

// timeline prints the log lines of one request, sorted by time, and the stream to which it belongs.
func (e *explainCommand) timeline(logs []logFile) error {
	sources, closeAll, err := openLogs(logs)
	if err != nil {
		return err
	}
	defer closeAll()
	timeline, err := trace.ReadTimeline(sources, trace.RequestID(e.Request))
	if err != nil {
		return err
	}
	if len(timeline.Events) == 0 {
		e.console.fail(ExitFailure, "no log line for request %s; %d lines could not be parsed", e.Request, timeline.BadLines.Count)
		return nil
	}
	out := explanation{Timeline: timeline}
	if timeline.Stream != "" {
		if out.StreamRequests, err = readStream(logs, timeline.Stream); err != nil {
			return err
		}
	}
	if e.JSON {
		return e.console.printJSON(out)
	}
	for _, s := range timeline.Events {
		e.console.printLine("%s %s %s  %s", s.Time.Format(time.RFC3339Nano), s.Router, s.Message, strings.Join(s.Fields, " "))
	}
	if timeline.Omitted > 0 {
		e.console.printLine("%d more lines", timeline.Omitted)
	}
	e.printStream(out.StreamRequests)
	e.badLines(timeline.BadLines)
	return nil
}

// losses prints a summary of the lost requests.
func (e *explainCommand) losses(logs []logFile) error {
	sources, closeAll, err := openLogs(logs)
	if err != nil {
		return err
	}
	defer closeAll()
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
		return e.console.printJSON(losses)
	}
	e.console.printLine("%d requests ended, %d lost, worth %.1f", losses.Ended, losses.Lost, losses.Worth)
	if losses.UnmarkedStreams > 0 {
		e.console.printLine("%d streams not counted as lost ended without a marked end", losses.UnmarkedStreams)
	}
	e.table("cause", losses.Causes)
	e.table("route", losses.Routes)
	e.table("workspace", losses.Workspaces)
	e.table("router", losses.Routers)
	e.table("target", losses.Targets)
	e.seconds(losses.Seconds)
	e.badLines(losses.BadLines)
	return nil
}

// table prints the rows of a table, up to the maximum number of rows.
func (e *explainCommand) table(name string, rows []trace.Row) {
	if len(rows) == 0 {
		return
	}
	e.console.printLine("\n%-28s %8s %8s %10s", name, "ended", "lost", "worth")
	for _, row := range rows[:min(len(rows), e.MaxRows)] {
		key := row.Key
		if key == "" {
			key = "(none)"
		}
		e.console.printLine("%-28s %8d %8d %10.1f", key, row.Ended, row.Lost, row.Worth)
	}
	if remaining := len(rows) - e.MaxRows; remaining > 0 {
		e.console.printLine("%d more rows", remaining)
	}
}

// seconds prints the seconds in which requests were lost.
func (e *explainCommand) seconds(all []trace.Second) {
	if len(all) == 0 {
		return
	}
	e.console.printLine("\n%-28s %8s %8s", "second", "in time", "lost")
	for _, s := range all {
		if s.Lost > 0 {
			e.console.printLine("%-28s %8d %8d", time.Unix(s.Unix, 0).UTC().Format(time.RFC3339), s.Good, s.Lost)
		}
	}
}

// badLines prints the lines that could not be parsed.
func (e *explainCommand) badLines(badLines trace.BadLines) {
	if badLines.Count == 0 {
		return
	}
	e.console.printLine("\n%d lines could not be parsed, the first:", badLines.Count)
	for _, b := range badLines.First {
		e.console.printLine("%s:%d: %s", b.Source, b.Line, b.Error)
	}
}
