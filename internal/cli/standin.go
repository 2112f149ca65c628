package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/knapweedrouter/knapweedrouter/internal/deployment"
	"github.com/knapweedrouter/knapweedrouter/internal/dev"
	"github.com/knapweedrouter/knapweedrouter/internal/hostlist"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/fleet"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/platform"
)

const (
	standinVersion     = 7
	standinServiceTime = 4 * time.Millisecond
	standinAddress     = "127.0.0.1"
)

type standinCommand struct {
	Deployment string `long:"deployment" default:"vembanad" description:"cargavoz, vembanad or a JSON file"`
	Platform   string `long:"platform" default:"127.0.0.1:7000" description:"IP:port of the store and host list"`
	FirstPort  int    `long:"first-port" default:"20000" description:"port of the first target"`
	Token      string `long:"trial-token" default:"trial" description:"token of the caller 'trial' in the first catalogue"`
	HostsFile  string `long:"hosts-file" description:"JSON file with the records of the host list"`
	Targets    bool   `long:"targets" description:"run the targets"`
	Store      bool   `long:"store" description:"run the store and the host list"`
}

// Execute runs the selected stand-ins until SIGTERM or SIGINT is received.
func (c *standinCommand) Execute([]string) error {
	d, err := deployment.Load(c.Deployment)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	catalogue := trialCatalogue(d, c.FirstPort, c.Token)
	if c.Targets {
		targets := fleet.New(fleet.Config{Catalogue: catalogue, Version: standinVersion, ServiceTime: standinServiceTime})
		stop, err := fleet.Serve(catalogue, targets)
		if err != nil {
			return err
		}
		defer stop()
		fmt.Printf("%d targets listening, first port %d\n", len(targets), c.FirstPort)
	}
	if c.Store {
		if err := c.servePlatform(ctx, catalogue); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

func (c *standinCommand) servePlatform(ctx context.Context, catalogue model.Catalogue) error {
	records, err := c.hostRecords()
	if err != nil {
		return err
	}
	kv := platform.NewStore()
	if err := dev.Seed(ctx, kv, catalogue); err != nil {
		return eris.Wrap(err, "initial catalogue")
	}
	server := &http.Server{
		Addr:              c.Platform,
		Handler:           platform.NewHandler(kv, platform.NewHostList(records)),
		ReadHeaderTimeout: time.Second,
	}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	fmt.Printf("store and host list listening at %s\n", c.Platform)
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return eris.Wrap(err, "platform stand-in")
	}
	return nil
}

// hostRecords reads the initial host list from the hosts file, if one is given.
func (c *standinCommand) hostRecords() ([]hostlist.Record, error) {
	if c.HostsFile == "" {
		return nil, nil
	}
	content, err := os.ReadFile(c.HostsFile)
	if err != nil {
		return nil, eris.Wrap(err, "hosts file")
	}
	var records []hostlist.Record
	if err := json.Unmarshal(content, &records); err != nil {
		return nil, eris.Wrapf(err, "hosts file %s", c.HostsFile)
	}
	return records, nil
}

// trialCatalogue returns the deployment's catalogue with an additional caller that may use all searches and services.
func trialCatalogue(d deployment.Deployment, firstPort int, token string) model.Catalogue {
	catalogue := d.Catalogue(standinAddress, firstPort)
	catalogue.Generation = 1
	dev.AddCaller(&catalogue, "trial", token)
	return catalogue
}
