package processes

// This file holds what the entry's and the agent's main packages share, so that
// both read their arguments, report findings and stop in the same way.

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	// ExitFailed is the exit code of a process that could not run on.
	ExitFailed = 1
	// ExitSettings is the exit code of a process whose settings are wrong.
	ExitSettings = 2

	incarnationBytes = 8
)

// Arguments are the flags of a process of the system.
type Arguments struct {
	Settings string `arg:"--settings" help:"settings file (INI); the platform may name it instead"`
	Check    bool   `arg:"--check" help:"check the settings file and exit"`
}

// WithDefaultSettings returns the arguments with this settings file where none is given.
func (given Arguments) WithDefaultSettings(path string) Arguments {
	if given.Settings == "" {
		given.Settings = path
	}
	return given
}

// Execute reads the settings and runs the process until it is interrupted or
// asked to terminate. It returns the exit code; errors go to standard error.
func Execute[S any](name string, given Arguments, read func(path string) (S, error), run func(ctx context.Context, settings S) error) int {
	if given.Settings == "" {
		fmt.Fprintln(os.Stderr, name+": --settings is required")
		return ExitSettings
	}
	settings, err := read(given.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	if given.Check {
		return 0
	}
	defer checkOnHangup(func() error { _, err := read(given.Settings); return err })()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, settings); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return ExitFailed
	}
	return 0
}

// checkOnHangup reads the settings again at each SIGHUP and reports what is wrong
// with them. Without a handler the signal would end the process. New settings are
// in force from the next start on: addresses and identity can't change before.
func checkOnHangup(read func() error) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			if err := read(); err != nil {
				fmt.Fprintf(os.Stderr, "event=\"settings changed\" error=%q\n", err)
				continue
			}
			fmt.Fprintln(os.Stderr, `event="settings changed" outcome="in force from the next start on"`)
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(hangups)
	}
}

// NewIncarnation returns a random name for one start of a process.
func NewIncarnation() string {
	incarnation := make([]byte, incarnationBytes)
	_, _ = rand.Read(incarnation) // crypto/rand never fails on supported systems.
	return hex.EncodeToString(incarnation)
}
