// Command demo runs a small fleet on stand-ins through what the product is for,
// says in plain words what happened, and ends with one line of JSON. Its exit
// status is 1 if a promise broke.
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
	broken := summary.broken()
	for _, b := range broken {
		fmt.Println("BROKEN:", b)
	}
	fmt.Println(string(line))
	if len(broken) > 0 {
		os.Exit(1)
	}
}
