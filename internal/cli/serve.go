package cli

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/knapweedrouter/knapweedrouter/internal/server"
	"github.com/knapweedrouter/knapweedrouter/internal/settings"
)

type serveCommand struct {
	Config string `long:"config" required:"true" description:"path of the settings file (JSON)"`
}

// Execute runs the host until SIGTERM or SIGINT is received.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	if faults := s.CheckFiles(); len(faults) > 0 {
		return eris.Wrap(faults, "settings "+c.Config)
	}
	logger, err := settings.NewLogger(s)
	if err != nil {
		return err
	}
	s.Limits().LimitHeap()
	signal.Ignore(syscall.SIGHUP) // its default action would end the process without a planned stop
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return server.New(logger, s, server.NewPorts(s)).Run(ctx)
}
