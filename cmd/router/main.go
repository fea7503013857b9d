// Command router runs a router on the users' platform, which package platform implements.
package main

import (
	"os"

	"valescale/platform"
)

func main() {
	os.Exit(platform.Main())
}
