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

// New returns a logger at the level (debug, info, warn or error) that adds the
// process name to every line.
func New(level, process string) (*zap.Logger, error) {
	return NewTo(level, process, zapcore.Lock(os.Stderr))
}

// NewTo returns a logger like that of New which writes to the output.
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

// Organisation returns the field for the organisation of an event.
func Organisation(name string) zap.Field { return zap.String("organisation", name) }

// Request returns the field for the id of the request of an event.
func Request(id string) zap.Field { return zap.String("request_id", id) }

// Version returns the field for the version of the weights of an event.
func Version(name string) zap.Field { return zap.String("version", name) }

// Revision returns the field for the configuration revision of an event.
func Revision(number int64) zap.Field { return zap.Int64("revision", number) }
