// Package logs builds the logger of a process: one line of key=value pairs for
// each event, on standard error.
package logs

import (
	"fmt"
	"os"

	zaplogfmt "github.com/sykesm/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger at the level (debug, info, warn or error) that puts the
// process name on every line.
func New(level, process string) (*zap.Logger, error) {
	return NewTo(level, process, zapcore.Lock(os.Stderr))
}

// NewTo is New for another output.
func NewTo(level, process string, output zapcore.WriteSyncer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.MessageKey = "event"
	encoding.TimeKey = "time"
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoding), output, parsed)
	return zap.New(core).With(zap.String("process", process)), nil
}

// Organisation names the organisation that an event belongs to.
func Organisation(name string) zap.Field { return zap.String("organisation", name) }

// Request names the request that an event belongs to.
func Request(id string) zap.Field { return zap.String("request_id", id) }

// Version names the version that an event belongs to.
func Version(name string) zap.Field { return zap.String("version", name) }

// Revision names the configuration revision that an event belongs to.
func Revision(number int64) zap.Field { return zap.Int64("revision", number) }
