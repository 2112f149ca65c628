// Package dev runs a whole deployment in one process: stand-ins for the platform and the targets, and several entry
// hosts. Its check compares the answers of the hosts with the records of the stand-ins.
package dev

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/control"
	"github.com/knapweedrouter/knapweedrouter/internal/deployment"
	"github.com/knapweedrouter/knapweedrouter/internal/hostlist"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorclient"
	"github.com/knapweedrouter/knapweedrouter/internal/server"
	"github.com/knapweedrouter/knapweedrouter/internal/settings"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/fleet"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/platform"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/target"
)

const (
	indexVersion  = 7
	serviceTime   = 4 * time.Millisecond
	headerTimeout = time.Second
	// stopTimeout bounds the wait for the hosts to stop. A planned stop takes 2 s until the load balancer has noticed, up
	// to 5 s for the ledger handover (no host takes it over when all stop at once) and up to 3 s until requests cease.
	stopTimeout = 11 * time.Second
)

// Config describes an environment.
type Config struct {
	// Deployment defines the data centres, the indexes and the services.
	Deployment deployment.Deployment
	// Hosts is the number of entry hosts. They are distributed over the data centres.
	Hosts int
	// Seed makes the service times of the targets reproducible.
	Seed uint64
}

// Host is one entry host of the environment.
type Host struct {
	Settings settings.Settings
	stop     context.CancelFunc
	done     chan struct{}
	err      error
}

// Environment is a running deployment.
type Environment struct {
	// Hosts are the entry hosts.
	Hosts []*Host
	// Targets are the target stand-ins.
	Targets map[model.TargetID]*target.Target
	// Store is the stand-in for the key-value service.
	Store *platform.Store
	// Catalogue is the initial catalogue.
	Catalogue model.Catalogue
	// CallerToken and OperatorToken are the tokens of the trial caller and of the operators.
	CallerToken   string
	OperatorToken string
	// Directory is the temporary directory of the key and token files.
	Directory string

	logger          *zap.Logger
	cfg             Config
	network         *network
	ctx             context.Context // parent context of the hosts
	cancel          context.CancelFunc
	platformAddress string
	servers         []*http.Server
	wg              sync.WaitGroup
}

// Start starts the stand-ins and the hosts. The caller must call Stop even after the context ends.
func Start(ctx context.Context, logger *zap.Logger, cfg Config) (*Environment, error) {
	ctx, cancel := context.WithCancel(ctx)
	e := &Environment{
		logger:        logger,
		cfg:           cfg,
		network:       newNetwork(),
		ctx:           ctx,
		cancel:        cancel,
		CallerToken:   rand.Text(),
		OperatorToken: rand.Text(),
	}
	for _, step := range []func(context.Context) error{e.writeSecrets, e.startTargets, e.startPlatform, e.startHosts} {
		if err := step(ctx); err != nil {
			e.Stop()
			return nil, err
		}
	}
	return e, nil
}

func (e *Environment) writeSecrets(context.Context) error {
	directory, err := os.MkdirTemp("", "knapweedrouter-dev-")
	if err != nil {
		return fmt.Errorf("directory for secrets: %w", err)
	}
	e.Directory = directory
	return errors.Join(
		os.WriteFile(e.path("fleet.key"), []byte(rand.Text()+rand.Text()), 0o600),
		os.WriteFile(e.path("operator.token"), []byte(e.OperatorToken), 0o600),
		os.WriteFile(e.path("caller.token"), []byte(e.CallerToken), 0o600),
	)
}

func (e *Environment) path(name string) string { return filepath.Join(e.Directory, name) }

func (e *Environment) startTargets(context.Context) error {
	e.Catalogue = e.cfg.Deployment.Catalogue("127.0.0.1", 1)
	e.Catalogue.Generation = 1
	AddCaller(&e.Catalogue, "trial", e.CallerToken)
	for i := range e.Catalogue.Targets {
		address, err := e.network.reserve()
		if err != nil {
			return err
		}
		e.Catalogue.Targets[i].Address = address
	}
	e.Targets = fleet.New(fleet.Config{
		Catalogue: e.Catalogue, Version: indexVersion, ServiceTime: serviceTime, Seed: e.cfg.Seed,
	})
	for _, t := range e.Catalogue.Targets {
		if err := e.serve(t.Address, target.NewHandler(e.Targets[t.ID])); err != nil {
			return err
		}
	}
	return nil
}

// serve serves HTTP on a reserved address until Stop.
func (e *Environment) serve(address string, handler http.Handler) error {
	listener, err := e.network.Listen(address)
	if err != nil {
		return err
	}
	httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	e.servers = append(e.servers, httpServer)
	e.wg.Go(func() {
		if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.logger.Error("stand-in ended", zap.String("address", address), zap.Error(err))
		}
	})
	return nil
}

func (e *Environment) startPlatform(ctx context.Context) error {
	e.Store = platform.NewStore()
	if err := Seed(ctx, e.Store, e.Catalogue); err != nil {
		return err
	}
	records, err := e.prepareHosts()
	if err != nil {
		return err
	}
	return e.serve(e.platformAddress, platform.NewHandler(e.Store, platform.NewHostList(records)))
}

// Seed writes the initial catalogue into an empty store.
func Seed(ctx context.Context, kv *platform.Store, catalogue model.Catalogue) error {
	return control.Bootstrap(ctx, kv, catalogue)
}

// prepareHosts reserves addresses for the platform and the hosts and returns the host list records.
func (e *Environment) prepareHosts() ([]hostlist.Record, error) {
	addresses := make([]string, 1+3*e.cfg.Hosts)
	for i := range addresses {
		address, err := e.network.reserve()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	e.platformAddress = addresses[0]
	var records []hostlist.Record
	for i := range e.cfg.Hosts {
		s := e.hostSettings(i, addresses[1+3*i:])
		e.Hosts = append(e.Hosts, &Host{Settings: s})
		records = append(records, hostlist.Record{ID: s.HostID, Address: s.PeerListen, DataCentre: s.DataCentre, State: hostlist.Live})
	}
	return records, nil
}

func (e *Environment) hostSettings(i int, addresses []string) settings.Settings {
	centre := e.cfg.Deployment.DataCentres[i%len(e.cfg.Deployment.DataCentres)]
	return settings.Settings{
		HostID:             model.HostID(fmt.Sprintf("host-%d", i+1)),
		DataCentre:         centre.ID,
		Region:             centre.Region,
		CallerListen:       addresses[0],
		OperatorListen:     addresses[1],
		PeerListen:         addresses[2],
		StoreAddresses:     []string{e.platformAddress},
		HostListAddress:    e.platformAddress,
		FleetKeyFiles:      []string{e.path("fleet.key")},
		OperatorTokenFiles: []string{e.path("operator.token")},
		LogLevel:           "warn",
		LogFormat:          settings.LogFormatJSON,
	}
}

func (e *Environment) startHosts(context.Context) error {
	for _, host := range e.Hosts {
		if faults := host.Settings.Validate(); len(faults) > 0 {
			return faults
		}
		e.startHost(host)
	}
	return nil
}

// startHost runs a new server for the host in a goroutine.
func (e *Environment) startHost(host *Host) {
	ctx, stop := context.WithCancel(e.ctx)
	host.stop = stop
	host.done = make(chan struct{})
	ports := server.NewPorts(host.Settings)
	ports.Network = e.network
	process := server.New(e.logger.With(zap.String("host", string(host.Settings.HostID))), host.Settings, ports)
	go func() {
		defer close(host.done)
		host.err = process.Run(ctx)
	}()
}

// Operators returns a client of the operator listeners of all hosts. It tries the host with index first before the others.
func (e *Environment) Operators(first int) *operatorclient.Client {
	var addresses []string
	for i := range e.Hosts {
		addresses = append(addresses, e.Hosts[(first+i)%len(e.Hosts)].Settings.OperatorListen)
	}
	return operatorclient.New(operatorclient.Config{Hosts: addresses, Token: e.OperatorToken})
}

// Stop stops the hosts and the stand-ins and removes the secrets. It returns the errors of hosts that failed.
func (e *Environment) Stop() error {
	e.cancel()
	var failures []error
	timeout := time.After(stopTimeout)
	for _, host := range e.Hosts {
		if host.done == nil {
			continue // never started
		}
		select {
		case <-host.done:
			if host.err != nil {
				failures = append(failures, fmt.Errorf("%s: %w", host.Settings.HostID, host.err))
			}
		case <-timeout:
			timeout = time.After(0)
			failures = append(failures, fmt.Errorf("%s did not stop within %s", host.Settings.HostID, stopTimeout))
		}
	}
	for _, httpServer := range e.servers {
		httpServer.Close()
	}
	e.wg.Wait()
	e.network.close()
	failures = append(failures, os.RemoveAll(e.Directory))
	return errors.Join(failures...)
}

// Describe returns the addresses of the environment and example commands for it.
func (e *Environment) Describe() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d targets, store and host list at %s\n", len(e.Targets), e.platformAddress)
	for _, host := range e.Hosts {
		s := host.Settings
		fmt.Fprintf(&text, "%s in %s: callers %s, operators %s\n", s.HostID, s.DataCentre, s.CallerListen, s.OperatorListen)
	}
	first := e.Hosts[0].Settings
	fmt.Fprintf(&text, "\nquery:     knapweedrouter query --host %s --token-file %s --search %s --text hub\n",
		first.CallerListen, e.path("caller.token"), e.Catalogue.Searches[0].ID)
	fmt.Fprintf(&text, "operators: knapweedrouter host list --host %s --token-file %s\n", first.OperatorListen, e.path("operator.token"))
	return text.String()
}
