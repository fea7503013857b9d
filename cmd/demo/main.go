// Command demo runs a small fleet with fake targets through the main features of the router, prints
// what happened, and ends with one line of JSON. Its exit status is 1 if a guarantee was violated.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"
)

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	summary, err := run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	line, err := json.Marshal(summary)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
	violations := summary.violations()
	for _, b := range violations {
		fmt.Println("BROKEN:", b)
	}
	fmt.Println(string(line))
	if len(violations) > 0 {
		os.Exit(1)
	}
}
