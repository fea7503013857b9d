package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
)

// Version is set when a release is built.
var Version = "development"

// console is where commands write, and what they exit with.
type console struct {
	out    io.Writer
	errors io.Writer
	status int
}

// say prints a line for people.
func (c *console) say(format string, args ...any) { fmt.Fprintf(c.out, format+"\n", args...) }

// print prints a value as one line of JSON for scripts.
func (c *console) print(value any) error {
	return json.NewEncoder(c.out).Encode(value)
}

// fail sets the exit status and prints why.
func (c *console) fail(status int, format string, args ...any) {
	c.status = status
	fmt.Fprintf(c.errors, "valescale: "+format+"\n", args...)
}

// remote are the options of commands that call a router.
type remote struct {
	Router    string        `long:"router" env:"VALESCALE_ROUTER" default:"127.0.0.1:8082" value-name:"IP:PORT" description:"admin address of any router"`
	TokenFile string        `long:"token-file" env:"VALESCALE_TOKEN_FILE" value-name:"FILE" description:"file that holds the operator's token"`
	CA        string        `long:"ca" value-name:"FILE" description:"talk TLS and trust this authority"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"how long the command may take"`
	JSON      bool          `long:"json" description:"print JSON, one value a line"`

	console *console
}

// Main runs a command line and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	c := &console{out: stdout, errors: stderr}
	parser := flags.NewNamedParser("valescale", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "A fleet of routers for very many returning chats."
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"serve", "Run a router", "Runs a router until SIGTERM or SIGINT, then drains it.", &serveCommand{console: c}},
		{"check", "Check documents", "Checks documents together with those in force.", &checkCommand{remote: remote{console: c}}},
		{"diff", "Compare documents with those in force", "Prints what apply would change.", &diffCommand{remote: remote{console: c}}},
		{"apply", "Put documents in force", "Records documents and waits until they are in force on every router.", &applyCommand{remote: remote{console: c}}},
		{"show", "Show documents in force", "Prints documents in force as files would hold them.", &showCommand{remote: remote{console: c}}},
		{"history", "List changes", "Lists recorded changes, the latest first.", &historyCommand{remote: remote{console: c}}},
		{"audit", "List who changed what", "Lists who changed each document from what to what, the latest first.", &auditCommand{remote: remote{console: c}}},
		{"status", "Show a router's state", "Shows a router's state and what it knows of the others.", &statusCommand{remote: remote{console: c}}},
		{"shadow", "Compare a candidate policy", "Runs candidate documents beside those in force and counts decisions that differ.", &shadowCommand{remote: remote{console: c}}},
		{"explain", "Tell what became of requests", "Reads the JSON lines of any number of routers and tells one request's story, or what was lost and why.", &explainCommand{console: c}},
		{"claim", "Look at or give back a claim", "Shows the claim of a request that may not be repeated, or gives it back.", &claimCommand{remote: remote{console: c}}},
		{"token", "Make a token", "Makes a random token and prints it with its hash.", &tokenCommand{console: c}},
		{"settings", "Describe the settings", "Prints every setting of serve with its default.", &settingsCommand{console: c}},
		{"man", "Print the man page", "Prints the man page in roff.", &manCommand{console: c, parser: parser}},
	}
	for _, command := range commands {
		if _, err := parser.AddCommand(command.name, command.short, command.long, command.data); err != nil {
			// The commands are fixed; this cannot fail at a user's.
			panic(err)
		}
	}
	var global struct {
		Version func() `long:"version" description:"print the version"`
	}
	global.Version = func() {
		c.say("valescale %s", Version)
		os.Exit(Success)
	}
	if _, err := parser.AddGroup("Global", "", &global); err != nil {
		panic(err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return c.usage(err)
	}
	return c.status
}

// usage turns a parser's or command's error into an exit status.
func (c *console) usage(err error) int {
	var problem *flags.Error
	if asFlags(err, &problem) {
		if problem.Type == flags.ErrHelp {
			fmt.Fprintln(c.out, problem.Message)
			return Success
		}
		fmt.Fprintln(c.errors, "valescale:", problem.Message)
		return Usage
	}
	fmt.Fprintln(c.errors, "valescale:", err)
	if c.status == Success {
		return Failure
	}
	return c.status
}

func asFlags(err error, into **flags.Error) bool {
	problem, ok := err.(*flags.Error)
	*into = problem
	return ok
}

// untilSignal returns a context that ends with SIGTERM or SIGINT.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}
