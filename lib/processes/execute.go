package processes

// This file holds what the main packages of the entry and the agent share, so
// that both handle arguments, findings and signals in the same way.

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
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
	// From the start on, since the signal ends a process that does not handle it.
	defer checkOnHangup(func() error { _, err := read(arguments.Settings); return err }, os.Stderr)()
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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, settings); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return ExitFailed
	}
	return 0
}

// checkOnHangup reads the settings again at each SIGHUP and writes to out whether they are
// right, or else which lines are not. Without a handler the signal would end the process.
// The settings of the process stay in force until its next start, because the addresses and
// the identity of a running process can't change.
func checkOnHangup(read func() error, out io.Writer) (stop func()) {
	hangupSignals := make(chan os.Signal, 1)
	signal.Notify(hangupSignals, syscall.SIGHUP)
	go func() {
		for range hangupSignals {
			if err := read(); err != nil {
				fmt.Fprintf(out, "level=error event=\"settings rejected\" outcome=\"the former ones stay in force\" error=%q\n", err)
				continue
			}
			fmt.Fprintln(out, `level=info event="settings changed" outcome="takes effect at the next start"`)
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
