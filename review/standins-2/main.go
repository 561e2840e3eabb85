// Command standins-2 holds the stand-ins and the checks of the cases of the second review.
// It runs one case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*testbed) (bool, error){
		"large-bodies": runLargeBodies,
		"cold-return":  runColdReturn,
		"descriptors":  runDescriptors,
	}
	run, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(execute(run, os.Args[2], os.Getenv("TROUBLE") != "0"))
}
