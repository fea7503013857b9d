// Command soak injects random faults into a fleet of routers that run as separate processes. It
// checks on the side of callers and targets that the routers keep their guarantees. It starts no
// process itself: it prints orders such as "start r1" or "kill r1", which bench/soak carries out.
//
// The last line of its output is "N passed, N failed"; the exit status is 1 if a guarantee was
// violated.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

// options are the command-line options.
type options struct {
	Seed    uint64        `long:"seed" default:"1" description:"seed of the fault schedule"`
	For     time.Duration `long:"for" default:"12s" description:"how long faults are injected"`
	Routers int           `long:"routers" default:"4" description:"number of routers"`
	Targets int           `long:"targets" default:"6" description:"number of targets of each service"`
	Callers int           `long:"callers" default:"16" description:"number of concurrent callers"`
	Dir     string        `long:"dir" required:"yes" description:"directory for the settings files of the routers"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	w, closeHarness, err := newHarness(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	failed := w.run()
	closeHarness()
	if failed > 0 {
		os.Exit(1)
	}
}
