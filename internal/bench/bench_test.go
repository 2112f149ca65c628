package bench

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/deployment"
)

var report *Report

// TestMain runs one scenario if the binary is called with the arguments SCENARIO SEED DEPLOYMENT (see bench/run), and
// the package's tests otherwise.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.NArg() == 0 {
		os.Exit(m.Run())
	}
	if err := parse(flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(2)
	}
	if code := m.Run(); code != 0 {
		os.Exit(code)
	}
	line, err := json.Marshal(report)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
	fmt.Println(string(line))
}

var chosen struct {
	scenario   Scenario
	deployment deployment.Deployment
}

func parse(args []string) error {
	if len(args) != 3 {
		return fmt.Errorf("usage: bench/run SCENARIO SEED DEPLOYMENT, or bench/run list")
	}
	scenario, err := Find(args[0])
	if err != nil {
		return err
	}
	seed, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return fmt.Errorf("seed %q is not a non-negative integer", args[1])
	}
	d, err := deployment.Load(args[2])
	if err != nil {
		return err
	}
	chosen.scenario, chosen.deployment = scenario, d
	report = &Report{Scenario: scenario.Name, Seed: seed, Deployment: d.Name}
	return nil
}

// TestScenario measures the scenario given on the command line.
func TestScenario(t *testing.T) {
	if report == nil {
		t.Skip("no scenario given: use bench/run")
	}
	systems := map[string]struct {
		into *Result
		run  func(deployment.Deployment, Scenario, uint64) (Result, error)
	}{
		"baseline": {&report.Baseline, RunBaseline},
		"router":   {&report.Router, RunRouter},
	}
	for name, system := range systems {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				result, err := system.run(chosen.deployment, chosen.scenario, report.Seed)
				require.NoError(t, err)
				*system.into = result
			})
		})
	}
}
