package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorclient"
)

func addConfigCommands(parent commandGroup) {
	group := parent.add("config", "Show the rollout of a configuration", &struct{}{})
	group.add("status", "Show on how many hosts the newest generation is in force", &configStatusCommand{})
}

const pollInterval = 200 * time.Millisecond

type configStatusCommand struct {
	OperatorOptions
	Wait       bool          `long:"wait" description:"wait until it is in force on every host"`
	Generation uint64        `long:"generation" description:"with --wait: wait for this generation or a newer one"`
	Timeout    time.Duration `long:"timeout" default:"10s" description:"with --wait: the longest time to wait"`
}

// Execute prints the status. With --wait it fails if the generation is not in force on every host before the timeout.
func (c *configStatusCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	limit := commandTimeout
	if c.Wait {
		limit = c.Timeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	status, err := c.poll(ctx, client)
	if err != nil {
		return c.reportError(err)
	}
	if err := c.print(status); err != nil {
		return err
	}
	if c.Wait && !c.isInForce(status) {
		return fault.New(fault.DeadlineExceeded, fault.NotRun, "check the lagging hosts, or wait longer with --timeout",
			"generation %d is in force on %d of %d hosts after %s", max(status.Generation, model.Generation(c.Generation)),
			status.InForce, status.Hosts, c.Timeout)
	}
	return nil
}

// poll returns the last status that was read before the context was done. With --wait it polls until the generation is in
// force on every host.
func (c *configStatusCommand) poll(ctx context.Context, client *operatorclient.Client) (operatorwire.ConfigurationStatus, error) {
	status, err := client.Status(ctx)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for c.Wait && (err != nil || !c.isInForce(status)) {
		select {
		case <-ctx.Done():
			return status, err
		case <-ticker.C:
		}
		if newer, pollErr := client.Status(ctx); pollErr == nil {
			status, err = newer, nil
		}
	}
	return status, err
}

func (c *configStatusCommand) isInForce(status operatorwire.ConfigurationStatus) bool {
	return status.InForce == status.Hosts && status.Generation >= model.Generation(c.Generation) && status.Generation > 0
}

func (c *configStatusCommand) print(status operatorwire.ConfigurationStatus) error {
	if c.isJSON() {
		return printJSON(status)
	}
	fmt.Printf("generation %d is in force on %d of %d hosts; first to last host: %d ms\n",
		status.Generation, status.InForce, status.Hosts, status.SpreadMS)
	if len(status.Fenced) > 0 {
		fmt.Printf("fenced hosts, which refuse new work: %v\n", status.Fenced)
	}
	if len(status.Lagging) == 0 {
		return nil
	}
	var rows [][]string
	for _, host := range status.Lagging {
		rows = append(rows, []string{string(host.Host), string(host.DataCentre), fmt.Sprint(host.Generation), fmt.Sprint(host.Fenced), host.Failure})
	}
	printTable([]string{"LAGGING HOST", "DATA CENTRE", "GENERATION", "FENCED", "FAILURE"}, rows)
	return nil
}
