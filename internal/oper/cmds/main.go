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

// Version is the version of the program. It is set when a release is built.
var Version = "development"

// console contains the outputs and the exit status of a command.
type console struct {
	out    io.Writer
	errors io.Writer
	status int
}

// printLine prints a formatted line to the standard output.
func (c *console) printLine(format string, args ...any) { fmt.Fprintf(c.out, format+"\n", args...) }

// printJSON prints a value as one line of JSON to the standard output.
func (c *console) printJSON(value any) error {
	return json.NewEncoder(c.out).Encode(value)
}

// fail sets the exit status and prints an error message.
func (c *console) fail(status int, format string, args ...any) {
	c.status = status
	fmt.Fprintf(c.errors, "valescale: "+format+"\n", args...)
}

// routerOptions contains the flags of commands that call the admin service of a router.
type routerOptions struct {
	Router    string        `long:"router" env:"VALESCALE_ROUTER" default:"127.0.0.1:8082" value-name:"IP:PORT" description:"admin address of any router"`
	TokenFile string        `long:"token-file" env:"VALESCALE_TOKEN_FILE" value-name:"FILE" description:"file with the operator's token"`
	CA        string        `long:"ca" value-name:"FILE" description:"file with the certificate of the CA; the connection then uses TLS"`
	Timeout   time.Duration `long:"timeout" default:"30s" description:"timeout of the whole command"`
	JSON      bool          `long:"json" description:"print JSON, one value per line"`

	console *console
}

// Main runs a command line and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	c := &console{out: stdout, errors: stderr}
	parser := flags.NewNamedParser("valescale", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Routes the requests of very many returning chats with a fleet of routers."
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"serve", "Run a router", "Runs a router until SIGTERM or SIGINT, then drains it.", &serveCommand{console: c}},
		{"check", "Check documents", "Checks documents together with those in force.", &checkCommand{routerOptions: routerOptions{console: c}}},
		{"diff", "Compare documents with those in force", "Prints the changes that apply would make.", &diffCommand{routerOptions: routerOptions{console: c}}},
		{"apply", "Put documents in force", "Records documents and waits until they are in force on every router.", &applyCommand{routerOptions: routerOptions{console: c}}},
		{"show", "Show documents in force", "Prints documents in force in the format of document files.", &showCommand{routerOptions: routerOptions{console: c}}},
		{"history", "List changes", "Lists recorded changes, the latest first.", &historyCommand{routerOptions: routerOptions{console: c}}},
		{"audit", "List the audit trail", "Lists the changes of each document with operator and changed lines, the latest first.", &auditCommand{routerOptions: routerOptions{console: c}}},
		{"status", "Show a router's state", "Shows a router's state and its view of the other routers and the targets.", &statusCommand{routerOptions: routerOptions{console: c}}},
		{"shadow", "Compare a candidate policy", "Evaluates candidate documents alongside those in force and counts the decisions that differ.", &shadowCommand{routerOptions: routerOptions{console: c}}},
		{"explain", "Explain the outcome of requests", "Reads the JSON logs of one or more routers and prints the log lines of a request, or a summary of the lost requests by cause.", &explainCommand{console: c}},
		{"claim", "Show or release a claim", "Shows the claim of a request that must not be repeated, or releases it.", &claimCommand{routerOptions: routerOptions{console: c}}},
		{"token", "Generate a token", "Generates a random token and prints it with its hash.", &tokenCommand{console: c}},
		{"settings", "Describe the settings", "Prints every setting of serve with its default.", &settingsCommand{console: c}},
		{"man", "Print the man page", "Prints the man page in roff.", &manCommand{console: c, parser: parser}},
	}
	for _, command := range commands {
		if _, err := parser.AddCommand(command.name, command.short, command.long, command.data); err != nil {
			// The commands are constant, so a failure is a programming error.
			panic(err)
		}
	}
	var global struct {
		Version func() `long:"version" description:"print the version"`
	}
	global.Version = func() {
		c.printLine("valescale %s", Version)
		os.Exit(ExitSuccess)
	}
	if _, err := parser.AddGroup("Global", "", &global); err != nil {
		panic(err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return c.exitStatus(err)
	}
	return c.status
}

// exitStatus prints an error of the parser or of a command and returns the exit status.
func (c *console) exitStatus(err error) int {
	var flagsErr *flags.Error
	if asFlagsError(err, &flagsErr) {
		if flagsErr.Type == flags.ErrHelp {
			fmt.Fprintln(c.out, flagsErr.Message)
			return ExitSuccess
		}
		fmt.Fprintln(c.errors, "valescale:", flagsErr.Message)
		return ExitUsage
	}
	fmt.Fprintln(c.errors, "valescale:", err)
	if c.status == ExitSuccess {
		return ExitFailure
	}
	return c.status
}

func asFlagsError(err error, into **flags.Error) bool {
	flagsErr, ok := err.(*flags.Error)
	*into = flagsErr
	return ok
}

// signalContext returns a context that is cancelled by SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}
