package cmds

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/jessevdk/go-flags"

	"valescale/internal/oper/conf"
	"valescale/internal/oper/daemon"
	"valescale/internal/oper/telem"
	"valescale/internal/rule/policy"
)

// serveCommand runs a router.
type serveCommand struct {
	Check bool `long:"check" description:"only check the settings"`
	Args  struct {
		Settings string `positional-arg-name:"SETTINGS" description:"settings file"`
	} `positional-args:"yes" required:"yes"`

	console *console
}

// Execute runs the command.
func (s *serveCommand) Execute([]string) error {
	settings, err := conf.Load(s.Args.Settings)
	if err != nil {
		s.console.status = Mistakes
		return err
	}
	if s.Check {
		s.console.say("%s: the settings are right", s.Args.Settings)
		return nil
	}
	logger := telem.NewLogger(s.console.errors, settings.LogLevel, settings.Router.ID)
	d, closeDaemon, err := daemon.New(settings, logger, time.Now)
	if err != nil {
		return err
	}
	defer closeDaemon()
	ctx, cancel := untilSignal()
	defer cancel()
	return d.Run(ctx)
}

// settingsCommand describes the settings.
type settingsCommand struct{ console *console }

// Execute runs the command.
func (s *settingsCommand) Execute([]string) error {
	s.console.say("%s", conf.Help())
	return nil
}

// manCommand prints the man page.
type manCommand struct {
	console *console
	parser  *flags.Parser
}

// Execute runs the command.
func (m *manCommand) Execute([]string) error {
	m.parser.WriteManPage(m.console.out)
	return nil
}

// tokenCommand makes a token.
type tokenCommand struct{ console *console }

const tokenBytes = 32

// Execute runs the command.
func (t *tokenCommand) Execute([]string) error {
	raw := make([]byte, tokenBytes)
	// The reader never fails.
	_, _ = rand.Read(raw)
	token := hex.EncodeToString(raw)
	t.console.say("token        %s\ntoken_sha256 %s", token, policy.HashToken(token))
	return nil
}
