// Command agent runs beside one backend server. It fetches weights, loads them
// into the engine and sends it the requests that entries forward.
package main

import (
	"os"

	"github.com/alexflint/go-arg"

	"firford/cmd/agent/assembly"
	"firford/cmd/agent/routed"
	"firford/lib/processes"
	"firford/platform"
)

type arguments struct {
	processes.Arguments
	Routed bool `arg:"--routed" help:"serve the operator's routes on the users' platform"`
}

func (arguments) Description() string {
	return "Runs beside one backend server. Exit codes: 0 stopped, 1 failed, 2 the settings are wrong."
}

func (arguments) Epilogue() string {
	return "Example: agent --settings agent.ini"
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if args.Routed {
		args.Arguments = args.WithDefaultSettings(platform.SettingsPath())
		os.Exit(processes.Execute("agent", args.Arguments, processes.ReadRoutedAgent, routed.Run))
	}
	os.Exit(processes.Execute("agent", args.Arguments, processes.ReadAgent, assembly.Run))
}
