// Command valescale runs a router of a fleet and provides the operators' commands.
package main

import (
	"os"

	"valescale/internal/oper/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
