// Command entry runs on an entry host. It serves callers and operators, and
// forwards requests to the agents beside the backend servers.
package main

import (
	"os"

	"github.com/alexflint/go-arg"

	"firford/cmd/entry/assembly"
	"firford/cmd/entry/routed"
	"firford/lib/processes"
	"firford/platform"
)

type arguments struct {
	processes.Arguments
	Routed bool `arg:"--routed" help:"serve the operator's routes on the users' platform"`
}

func (arguments) Description() string {
	return "Answers callers and operators. Exit codes: 0 stopped, 1 failed, 2 the settings are wrong."
}

func (arguments) Epilogue() string {
	return "Example: entry --settings entry.ini"
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if args.Routed {
		args.Arguments = args.WithDefaultSettings(platform.SettingsPath())
		os.Exit(processes.Execute("entry", args.Arguments, processes.ReadRoutedEntry, routed.Run))
	}
	os.Exit(processes.Execute("entry", args.Arguments, processes.ReadEntry, assembly.Run))
}
