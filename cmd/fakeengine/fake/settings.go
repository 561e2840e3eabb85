// Package fake simulates engines and plain services. It speaks the engine
// protocol, uses continuous batching with a fixed step time and can inject every
// fault that the system must tolerate. Replaying recorded answers was rejected
// because a replay shows neither queueing nor a change of version under load.
package fake

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/invariants"
	"firford/lib/logs"
)

const maxEngines = 256

// Settings are the flags of the command. One process runs Count engines on
// consecutive ports.
type Settings struct {
	Address         string        `arg:"--address" help:"IP address and port of the first engine"`
	Count           int           `arg:"--count" help:"number of engines, on consecutive ports"`
	Version         string        `arg:"--version-served" help:"version served at the start"`
	Empty           bool          `arg:"--empty" help:"start without a version, as a new host does"`
	Slots           int           `arg:"--slots" help:"requests that run at once"`
	Queue           int           `arg:"--queue" help:"requests that wait for a slot at most"`
	Step            time.Duration `arg:"--step" help:"time of one batching step"`
	Lag             time.Duration `arg:"--lag" help:"age of the load values in the status"`
	LoadTime        time.Duration `arg:"--load-time" help:"time that loading a version takes"`
	CallTime        time.Duration `arg:"--call-time" help:"time that a service call takes"`
	RefuseTokens    bool          `arg:"--refuse-tokens" help:"refuse orders with an old fencing token"`
	PrefixBlocks    int           `arg:"--prefix-blocks" help:"capacity of the prefix cache in blocks"`
	CacheLag        time.Duration `arg:"--cache-lag" help:"delay of published cache events"`
	RecordLimit     int           `arg:"--record-limit" help:"request ids kept in the record"`
	RecordFile      string        `arg:"--record-file" help:"file to which each execution is appended at once"`
	LogLevel        string        `arg:"--log-level" help:"debug, info, warn or error"`
	StopOnViolation bool          `arg:"--stop-on-violation" help:"exit on a violated invariant"`
}

// DefaultSettings returns the default values of the flags.
func DefaultSettings() Settings {
	return Settings{
		Address:      "127.0.0.1:7401",
		Count:        1,
		Version:      "v1",
		Slots:        16,
		Queue:        64,
		Step:         9 * time.Millisecond,
		Lag:          500 * time.Millisecond,
		LoadTime:     2 * time.Second,
		CallTime:     5 * time.Millisecond,
		PrefixBlocks: 2048,
		CacheLag:     time.Second,
		RecordLimit:  200_000,
		LogLevel:     "info",
	}
}

func (settings Settings) validate() error {
	if settings.Count < 1 || settings.Count > maxEngines {
		return fmt.Errorf("count %d: allowed are 1 to %d", settings.Count, maxEngines)
	}
	if settings.Slots < 1 || settings.Queue < 0 || settings.Step <= 0 || settings.RecordLimit < 1 || settings.PrefixBlocks < 0 {
		return errors.New("slots, step and record limit must be positive, queue and prefix blocks not negative")
	}
	return nil
}

// Serve runs the engines until the context ends or one of them fails.
func Serve(ctx context.Context, settings Settings) error {
	if err := settings.validate(); err != nil {
		return err
	}
	first, err := netip.ParseAddrPort(settings.Address)
	if err != nil {
		return fmt.Errorf("address %q: %w", settings.Address, err)
	}
	logger, err := logs.New(settings.LogLevel, "fakeengine")
	if err != nil {
		return err
	}
	journal, err := openJournal(settings.RecordFile)
	if err != nil {
		return err
	}
	checker := invariants.New(logger, tally.NoopScope, settings.StopOnViolation)
	failures := make(chan error, settings.Count)
	for i := range settings.Count {
		address := netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)).String()
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		engine := newEngine(ctx, settings, journal, logger.With(zap.String("engine", address)), checker)
		go engine.runBatch()
		go func() { failures <- engine.Serve(ctx, listener) }()
	}
	logger.Info("serving", zap.String("address", settings.Address), zap.Int("count", settings.Count))
	for range settings.Count {
		if err := <-failures; err != nil {
			return err
		}
	}
	return nil
}
