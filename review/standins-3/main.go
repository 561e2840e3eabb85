// Command standins-3 holds the stand-ins of the third review and the cases that use them. It
// uses the standard library alone.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	held = iota
	broken
	couldNotRun
)

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(root string, written *record, isTroubled bool) int{
	"manifest": spoiltManifest,
	"cold":     coldBehindOutage,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE FOLDER, in the repository")
		os.Exit(couldNotRun)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	}
	written, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	}
	go endOnSignal()
	os.Exit(cases[os.Args[1]](root, written, os.Getenv("TROUBLE") != "0"))
}

// endOnSignal ends the processes of the case when it is told to stop.
func endOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, os.Interrupt, syscall.SIGTERM)
	<-told
	endProcesses()
	os.Exit(couldNotRun)
}
