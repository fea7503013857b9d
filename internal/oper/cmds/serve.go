package cmds

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/jessevdk/go-flags"

	"valescale/internal/oper/conf"
	"valescale/internal/oper/daemon"
	"valescale/internal/oper/telem"
	"valescale/internal/plat/memory"
	"valescale/internal/rule/policy"
)

// serveCommand runs a router until SIGTERM or SIGINT.
type serveCommand struct {
	Check bool `long:"check" description:"only check the settings"`
	Args  struct {
		Settings string `positional-arg-name:"SETTINGS" description:"settings file"`
	} `positional-args:"yes" required:"yes"`

	console *console
}

// Execute implements flags.Commander.
func (s *serveCommand) Execute([]string) error {
	settings, err := conf.Load(s.Args.Settings)
	if err != nil {
		s.console.status = ExitInvalid
		return err
	}
	if s.Check {
		s.console.printLine("%s: settings are valid", s.Args.Settings)
		return nil
	}
	logger := telem.NewLogger(s.console.errors, settings.LogLevel, settings.Router.ID)
	memory.SetCollectorLimit(memory.Bytes(settings.Limits.Memory) * memory.MB)
	d, closeDaemon, err := daemon.New(settings, logger, time.Now)
	if err != nil {
		return err
	}
	defer closeDaemon()
	ctx, cancel := signalContext()
	defer cancel()
	return d.Run(ctx)
}

// settingsCommand prints the settings with their descriptions and defaults.
type settingsCommand struct{ console *console }

// Execute implements flags.Commander.
func (s *settingsCommand) Execute([]string) error {
	s.console.printLine("%s", conf.Help())
	return nil
}

// manCommand prints the man page.
type manCommand struct {
	console *console
	parser  *flags.Parser
}

// Execute implements flags.Commander.
func (m *manCommand) Execute([]string) error {
	m.parser.WriteManPage(m.console.out)
	return nil
}

// tokenCommand generates a token and its hash.
type tokenCommand struct{ console *console }

const tokenBytes = 32

// Execute implements flags.Commander.
func (t *tokenCommand) Execute([]string) error {
	raw := make([]byte, tokenBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(raw)
	token := hex.EncodeToString(raw)
	t.console.printLine("token        %s\ntoken_sha256 %s", token, policy.HashToken(token))
	return nil
}
