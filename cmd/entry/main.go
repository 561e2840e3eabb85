// Command entry is the process of the system on an entry host: it answers callers
// and operators, and sends requests to the agents beside the backend servers.
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
	var given arguments
	arg.MustParse(&given)
	if given.Routed {
		given.Arguments = given.WithDefaultSettings(platform.SettingsPath())
		os.Exit(processes.Execute("entry", given.Arguments, processes.ReadRoutedEntry, routed.Run))
	}
	os.Exit(processes.Execute("entry", given.Arguments, processes.ReadEntry, assembly.Run))
}
