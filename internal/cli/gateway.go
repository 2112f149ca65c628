package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/gateway"
	"github.com/knapweedrouter/knapweedrouter/internal/hostlimits"
	"github.com/knapweedrouter/knapweedrouter/internal/logqueue"
	"github.com/knapweedrouter/knapweedrouter/platform"
)

type gatewayCommand struct {
	Config   string `long:"config" description:"path of the settings file (JSON); without it the platform's variable names it"`
	MaxFDs   int    `long:"max-fds" env:"KNAPWEEDROUTER_MAX_FDS" value-name:"N" description:"file descriptors that the process may have open; 0 if only the system limits them"`
	ChangeMS string `long:"change-ms" env:"KNAPWEEDROUTER_CHANGE_MS" value-name:"N,N" description:"times in ms within which changes in the store must be in force; the shortest counts, 3000 at least"`
}

// Execute runs the gateway until SIGTERM or SIGINT.
func (c *gatewayCommand) Execute([]string) error {
	// Signal handlers are installed first, because the default action of these signals terminates the process.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloads := notifyHangup(ctx)
	path := c.Config
	if path == "" {
		path = os.Getenv(platform.SettingsPathVariable)
	}
	s, err := c.load(path)
	if err != nil {
		return err
	}
	s.Limits().LimitHeap()
	queue := logqueue.New(os.Stdout)
	stopLog, logEnded := make(chan struct{}), make(chan struct{})
	go func() {
		queue.Run(stopLog)
		close(logEnded)
	}()
	defer func() {
		close(stopLog)
		<-logEnded
	}()
	logger := logqueue.NewLogger(queue).With(zap.String("host", string(s.HostID)))
	g, err := gateway.New(logger, s, queue.Dropped, func(observed gateway.StoreObserver) gateway.Platform {
		return gateway.Platform{
			Feed:      platform.NewStore(s.StoreAddress, observed),
			Decoder:   platform.Documents{},
			Targets:   platform.Headers{},
			Callers:   platform.Headers{},
			Prefix:    platform.Prefix,
			ReadyPath: platform.ReadyPath,
		}
	})
	if err != nil {
		return err
	}
	return g.Run(ctx, gateway.Reload{
		Signalled: reloads,
		Load:      func() (gateway.Settings, error) { return c.load(path) },
	})
}

// load returns the settings of the file and the command line.
func (c *gatewayCommand) load(path string) (gateway.Settings, error) {
	if c.MaxFDs != 0 && c.MaxFDs < hostlimits.MinFDs {
		return gateway.Settings{}, eris.Errorf("--max-fds %d: set %d or more, or 0 if only the system limits them", c.MaxFDs, hostlimits.MinFDs)
	}
	changeBound, err := gateway.ParseChangeBound(c.ChangeMS)
	if err != nil {
		return gateway.Settings{}, err
	}
	s, err := gateway.LoadSettings(path)
	s.MaxFDs, s.ChangeBound = c.MaxFDs, changeBound
	return s, err
}

// notifyHangup returns a channel that receives a value for each SIGHUP until the context is done. Signals that arrive
// before the previous one has been received are coalesced. The signal stays caught after the context is done: its default action
// would end the process in the middle of a planned stop.
func notifyHangup(ctx context.Context) <-chan struct{} {
	signals, hangups := make(chan os.Signal, 1), make(chan struct{}, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-signals:
				select {
				case hangups <- struct{}{}:
				case <-ctx.Done():
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return hangups
}
