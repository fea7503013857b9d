// Command measure drives the placement, queueing and gossip code of the router with a fake clock and
// seeded arrivals, and prints the figures that the documentation quotes. Equal seeds give equal
// figures. It does not simulate a cluster: messages between routers are function calls, and only
// time, arrivals, reports and engines are simulated.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// options are the command-line options.
type options struct {
	JSON bool   `long:"json" description:"print one JSON object per line for each row"`
	Plot string `long:"plot" description:"write charts to this directory" value-name:"DIR"`
	Seed uint64 `long:"seed" default:"1" description:"seed of arrivals and random choices"`
	Full bool   `long:"full" description:"include the cases that take minutes"`

	Args struct {
		What string `positional-arg-name:"skew|reuse|fair|control|capacity|path"`
	} `positional-args:"yes" required:"yes"`
}

// row is one row of a table.
type row struct {
	Case           string  `json:"case"`
	Strategy       string  `json:"way"`
	Routers        int     `json:"routers"`
	Engines        int     `json:"engines"`
	MaxRatio       float64 `json:"max_ratio"`
	P99Ratio       float64 `json:"p99_ratio"`
	MaxExcess      float64 `json:"max_excess_requests"`
	OverShare      float64 `json:"share_over_bound"`
	Reuse          float64 `json:"reuse"`
	ReuseOfOracle  float64 `json:"reuse_of_oracle"`
	PermitRequests float64 `json:"asks_per_request"`
	ControlBytes   float64 `json:"control_bytes_s"`
	CPUMicros      float64 `json:"cpu_us_per_decision"`
	BytesPer       float64 `json:"bytes_per_router"`
	Note           string  `json:"note,omitempty"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	measures := map[string]func(options) []row{
		"skew": skew, "reuse": reuse, "fair": fair, "control": control, "capacity": capacity, "path": path,
	}
	measure, ok := measures[o.Args.What]
	if !ok {
		fmt.Fprintf(os.Stderr, "measure: unknown measurement %q\n", o.Args.What)
		os.Exit(2)
	}
	rows := measure(o)
	printRows(o.Args.What, rows, o.JSON)
	if o.Plot != "" {
		if err := plotRows(o.Plot, o.Args.What, rows); err != nil {
			fmt.Fprintln(os.Stderr, "measure:", err)
			os.Exit(1)
		}
	}
}

func printRows(what string, rows []row, asJSON bool) {
	if asJSON {
		for _, r := range rows {
			line, err := json.Marshal(r)
			if err != nil {
				// A row contains only strings and numbers.
				panic(err)
			}
			fmt.Println(string(line))
		}
		return
	}
	table := tables[what]
	fmt.Println(table.header)
	for _, r := range rows {
		fmt.Println(table.line(r))
	}
}

// table is the format in which the rows of one measurement are printed.
type table struct {
	header string
	line   func(row) string
}

const placementHeader = `| case | way | routers | engines | worst load/mean | p99 | worst excess over the bound (requests) | share of admissions over it by more than one | reuse | of the oracle's | asks a request | control B/s a router | note |
| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- |`

func formatPlacement(r row) string {
	return fmt.Sprintf("| %s | %s | %d | %d | %.2f | %.2f | %.2f | %.4f | %.3f | %.3f | %.2f | %.0f | %s |",
		r.Case, r.Strategy, r.Routers, r.Engines, r.MaxRatio, r.P99Ratio, r.MaxExcess, r.OverShare,
		r.Reuse, r.ReuseOfOracle, r.PermitRequests, r.ControlBytes, r.Note)
}

var tables = map[string]table{
	"skew":  {placementHeader, formatPlacement},
	"reuse": {placementHeader, formatPlacement},
	"fair": {
		"| case | order | quiet workspaces' time to the end, over no surge | their p99 wait (s) |\n| --- | --- | ---: | ---: |",
		func(r row) string {
			return fmt.Sprintf("| %s | %s | %.3f | %.2f |", r.Case, r.Strategy, r.MaxRatio, r.P99Ratio)
		},
	},
	"control": {
		"| fleet | part | routers | engines a region | B/s a router | note |\n| --- | --- | ---: | ---: | ---: | --- |",
		func(r row) string {
			return fmt.Sprintf("| %s | %s | %d | %d | %.0f | %s |", r.Case, r.Strategy, r.Routers, r.Engines, r.ControlBytes, r.Note)
		},
	},
	"path": {
		"| load | way | p50 of the first byte, ratio | p99, ratio | router's processor a request (us) | note |\n| --- | --- | ---: | ---: | ---: | --- |",
		func(r row) string {
			return fmt.Sprintf("| %s | %s | %.2f | %.2f | %.0f | %s |", r.Case, r.Strategy, r.P99Ratio, r.MaxRatio, r.CPUMicros, r.Note)
		},
	},
	"capacity": {
		"| what | size | memory (bytes) | one call (us) | slope |\n| --- | --- | ---: | ---: | --- |",
		func(r row) string {
			return fmt.Sprintf("| %s | %s | %.0f | %.2f | %s |", r.Case, r.Strategy, r.BytesPer, r.CPUMicros, r.Note)
		},
	},
}
