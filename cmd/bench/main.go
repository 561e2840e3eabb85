// Command bench generates load and measures the system. Each measurement is a
// subcommand with its own package; main parses the arguments and runs the selected one.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"firford/cmd/bench/burst"
	"firford/cmd/bench/callers"
	"firford/cmd/bench/config"
	"firford/cmd/bench/control"
	"firford/cmd/bench/demo"
	"firford/cmd/bench/emulation"
	"firford/cmd/bench/fetch"
	"firford/cmd/bench/fleet"
	"firford/cmd/bench/hearing"
	"firford/cmd/bench/operations"
	"firford/cmd/bench/overhead"
	"firford/cmd/bench/prepare"
	"firford/cmd/bench/selection"
	"firford/cmd/bench/soak"
)

type (
	// subcommand holds the parsed arguments of one subcommand and runs it.
	subcommand interface {
		Run(ctx context.Context) error
	}

	arguments struct {
		Fleet          *fleet.Command          `arg:"subcommand:fleet" help:"write the settings, lists and command lines of a fleet on this machine"`
		Prepare        *prepare.Command        `arg:"subcommand:prepare" help:"configure a running fleet: models, deployments, organisations"`
		Operations     *operations.Command     `arg:"subcommand:operations" help:"let operators race each other, and check that accepted changes stay in force"`
		Callers        *callers.Command        `arg:"subcommand:callers" help:"send requests to a fleet continuously, verify and record every answer"`
		Demo           *demo.Command           `arg:"subcommand:demo" help:"print the table of a demonstration from its records"`
		ConfigNode     *config.NodeCommand     `arg:"subcommand:config-node" help:"run one process of the configuration measurement"`
		ConfigDrive    *config.DriveCommand    `arg:"subcommand:config-drive" help:"measure the configuration changes of running processes"`
		ConfigSummary  *config.SummaryCommand  `arg:"subcommand:config-summary" help:"print and save the configuration measurements of several sizes"`
		Burst          *burst.Command          `arg:"subcommand:burst" help:"measure how fast a version reaches all hosts"`
		Emulation      *emulation.Command      `arg:"subcommand:emulation" help:"compare policies that place, delay and refuse requests, in simulated time"`
		SoakPlan       *soak.PlanCommand       `arg:"subcommand:soak-plan" help:"print the faults of a long run"`
		SoakJudge      *soak.JudgeCommand      `arg:"subcommand:soak-judge" help:"check the records of a long run for violations"`
		Selection      *selection.Command      `arg:"subcommand:selection" help:"compare the policies that choose a backend server, and the goodput under overload"`
		Overhead       *overhead.Command       `arg:"subcommand:overhead" help:"compare the path through an entry and an agent with calling the backend server"`
		ControlMeasure *control.MeasureCommand `arg:"subcommand:control-measure" help:"measure what an idle fleet's processes cost"`
		ControlSummary *control.SummaryCommand `arg:"subcommand:control-summary" help:"fit the costs of several sizes"`
		Hearing        *hearing.Command        `arg:"subcommand:hearing" help:"measure how fast all entries hear of a leaving or crashed server, and what the datagrams cost"`
		Fetch          *fetch.Command          `arg:"subcommand:fetch" help:"send an HTTP request and print the answer"`
		Leaving        *fetch.LeavingCommand   `arg:"subcommand:leaving" help:"tell the platform that a host is leaving"`
	}
)

func (arguments) Description() string {
	return "Generates load and measures the system. The make targets whose names start with bench_ call it."
}

func main() {
	var parsed arguments
	parser := arg.MustParse(&parsed)
	selected, isSelected := parser.Subcommand().(subcommand)
	if !isSelected {
		parser.Fail("a subcommand is required")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := selected.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
