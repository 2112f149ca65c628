package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/deployment"
	"github.com/knapweedrouter/knapweedrouter/internal/dev"
)

type devCommand struct {
	Check      bool   `long:"check" description:"run the check, print what was seen, and exit"`
	Deployment string `long:"deployment" default:"vembanad" description:"cargavoz, vembanad or a JSON file"`
	Hosts      int    `long:"hosts" default:"4" description:"number of entry hosts"`
	Verbose    bool   `long:"verbose" description:"show the logs of the hosts from level info"`
}

// Execute runs the environment until SIGTERM or SIGINT is received or the check ends.
func (c *devCommand) Execute([]string) error {
	d, err := deployment.Load(c.Deployment)
	if err != nil {
		return err
	}
	if c.Hosts < 1 || c.Hosts > d.Hosts {
		return eris.Errorf("--hosts is %d: use 1 to %d for this deployment", c.Hosts, d.Hosts)
	}
	logger, err := c.logger()
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	environment, err := dev.Start(ctx, logger, dev.Config{Deployment: d, Hosts: c.Hosts, Seed: 1})
	if err != nil {
		return err
	}
	err = c.run(ctx, environment)
	if stopErr := environment.Stop(); err == nil {
		err = stopErr
	}
	return err
}

func (c *devCommand) run(ctx context.Context, environment *dev.Environment) error {
	if c.Check {
		return dev.Check(ctx, environment, os.Stdout)
	}
	fmt.Print(environment.Describe())
	<-ctx.Done()
	return nil
}

func (c *devCommand) logger() (*zap.Logger, error) {
	config := zap.NewDevelopmentConfig()
	config.Level = zap.NewAtomicLevelAt(zap.ErrorLevel)
	if c.Verbose {
		config.Level = zap.NewAtomicLevelAt(zap.InfoLevel)
	}
	config.DisableStacktrace = true
	logger, err := config.Build()
	return logger, eris.Wrap(err, "logger")
}
