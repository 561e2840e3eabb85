// Command standins runs the scripts of this review: it plays the platform's store, backend
// servers and clients on loopback addresses, and starts the project's own programs with the
// commands of the deploy file.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the scripts by name. Each returns whether the rule held.
var cases = map[string]func(bed *testbed, trouble bool) (held bool, err error){
	"keys":       runKeys,
	"evacuation": runEvacuation,
	"stop":       runStop,
	"restore":    runRestore,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE REPOSITORY RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, repository, recordPath string) int {
	play, found := cases[name]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return exitFailed
	}
	bed, err := newTestbed(repository, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer bed.close()
	trouble := os.Getenv("TROUBLE") != "0"
	bed.record("case %s, with the disruption: %v", name, trouble)
	held, err := play(bed, trouble)
	switch {
	case err != nil:
		bed.record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case !held:
		bed.record("result: the rule was broken")
		return exitBroken
	default:
		bed.record("result: the rule held")
		return exitHeld
	}
}
