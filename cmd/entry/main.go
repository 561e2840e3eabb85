// Command entry is the process of the system on an entry host: it answers callers
// and operators, and sends requests to the agents beside the backend servers.
package main

import (
	"os"

	"github.com/alexflint/go-arg"

	"firford/cmd/entry/assembly"
	"firford/lib/processes"
)

type arguments struct {
	processes.Arguments
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
	os.Exit(processes.Execute("entry", given.Arguments, processes.ReadEntry, assembly.Run))
}
