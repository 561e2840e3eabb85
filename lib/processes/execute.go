package processes

// This file holds what the main packages of the entry and the agent share, so
// that both handle arguments, findings and signals in the same way.

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"firford/lib/memory"
)

const (
	// ExitFailed is the exit code of a process that ended with an error.
	ExitFailed = 1
	// ExitSettings is the exit code of a process with invalid settings.
	ExitSettings = 2

	incarnationBytes = 8
)

// Arguments are the command-line flags of an entry or an agent.
type Arguments struct {
	Settings string `arg:"--settings" help:"settings file (INI); the platform may name it instead"`
	Check    bool   `arg:"--check" help:"check the settings file and exit"`
}

// WithDefaultSettings returns the arguments with the path as the settings file
// if they name none.
func (arguments Arguments) WithDefaultSettings(path string) Arguments {
	if arguments.Settings == "" {
		arguments.Settings = path
	}
	return arguments
}

// Execute reads the settings and runs the process until run returns; an
// interrupt or SIGTERM ends the context of run. It returns the exit code and
// writes errors to standard error.
func Execute[S any](name string, arguments Arguments, read func(path string) (S, error), run func(ctx context.Context, settings S) error) int {
	if arguments.Settings == "" {
		fmt.Fprintln(os.Stderr, name+": --settings is required")
		return ExitSettings
	}
	settings, err := read(arguments.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	if arguments.Check {
		return 0
	}
	if err := memory.LimitToHost(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	}
	defer checkOnHangup(func() error { _, err := read(arguments.Settings); return err })()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, settings); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return ExitFailed
	}
	return 0
}

// checkOnHangup reads the settings again at each SIGHUP and reports their
// problems. Without a handler the signal would end the process. Changed
// settings take effect at the next start, because the addresses and the
// identity of a running process can't change.
func checkOnHangup(read func() error) (stop func()) {
	hangupSignals := make(chan os.Signal, 1)
	signal.Notify(hangupSignals, syscall.SIGHUP)
	go func() {
		for range hangupSignals {
			if err := read(); err != nil {
				fmt.Fprintf(os.Stderr, "event=\"settings changed\" error=%q\n", err)
				continue
			}
			fmt.Fprintln(os.Stderr, `event="settings changed" outcome="takes effect at the next start"`)
		}
	}()
	return func() {
		signal.Stop(hangupSignals)
		close(hangupSignals)
	}
}

// NewIncarnation returns a random identifier for one start of a process.
func NewIncarnation() string {
	incarnation := make([]byte, incarnationBytes)
	_, _ = rand.Read(incarnation) // crypto/rand never fails on supported systems.
	return hex.EncodeToString(incarnation)
}
