package cli

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/server"
	"github.com/knapweedrouter/knapweedrouter/internal/settings"
)

type serveCommand struct {
	Config string `long:"config" required:"true" description:"path of the settings file (JSON)"`
}

// Execute runs the host until SIGTERM or SIGINT.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	logger, err := zap.NewProduction()
	if err != nil {
		return eris.Wrap(err, "logger")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return server.New(logger, s, server.NewPorts(s)).Run(ctx)
}
