// Command agent is the process of the system beside one backend server: it
// fetches weights, loads them into the engine and runs the requests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"firford/cmd/agent/assembly"
	"firford/lib/processes"
)

const (
	exitFailed   = 1
	exitSettings = 2
)

type arguments struct {
	Settings string `arg:"--settings,required" help:"settings file (INI)"`
	Check    bool   `arg:"--check" help:"check the settings file and exit"`
}

func (arguments) Description() string {
	return "Runs beside one backend server. Exit codes: 0 stopped, 1 failed, 2 the settings are wrong."
}

func (arguments) Epilogue() string {
	return "Example: agent --settings agent.ini"
}

func main() {
	var given arguments
	arg.MustParse(&given)
	settings, err := processes.ReadAgent(given.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if given.Check {
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := assembly.Run(ctx, settings); err != nil {
		fmt.Fprintln(os.Stderr, "agent:", err)
		os.Exit(exitFailed)
	}
}
