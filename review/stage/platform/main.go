package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is returned by a case that saw its rule broken.
var errBroken = errors.New("rule broken")

// cases are the scripts by their names.
var cases = map[string]func(rec *record, trouble bool) error{
	"spot":        spot,
	"slow-reader": slowReader,
	"left":        left,
	"drained":     drained,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of the case, for record.txt")
	replicaID := flag.String("replica", "", "serve as the replica with this id")
	flag.Parse()
	if *replicaID != "" {
		os.Exit(serveReplica(*replicaID))
	}
	os.Exit(run(*name, *dir))
}

// run runs a case and returns the exit status.
func run(name, dir string) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	rec, err := newRecord(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	err = play(rec, os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errBroken):
		rec.say("BROKEN")
		return exitBroken
	case err != nil:
		rec.say("the case couldn't run: %v", err)
		return exitNotRun
	default:
		rec.say("HELD")
		return exitHeld
	}
}
