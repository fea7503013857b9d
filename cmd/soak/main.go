// Command soak plays random faults against routers that run as processes of their own,
// and checks from callers' and targets' side what the routers promise. It starts no
// process: it prints orders such as "start r1" or "kill r1", which bench/soak carries out.
//
// It ends with "N passed, N failed"; the exit status is 1 if a promise broke.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

// options are the command line's.
type options struct {
	Seed    uint64        `long:"seed" default:"1" description:"seed of the schedule of faults"`
	For     time.Duration `long:"for" default:"12s" description:"how long faults are played"`
	Routers int           `long:"routers" default:"4" description:"how many routers run"`
	Targets int           `long:"targets" default:"6" description:"how many targets each service has"`
	Callers int           `long:"callers" default:"16" description:"how many callers send at once"`
	Dir     string        `long:"dir" required:"yes" description:"folder for the routers' settings"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	w, closeWorld, err := newWorld(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	failed := w.run()
	closeWorld()
	if failed > 0 {
		os.Exit(1)
	}
}
