package beechlog

import (
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// redacted replaces the value of a secret field.
const redacted = "redacted"

// secretNames are parts of the names of fields whose values are never written: with
// a key, a reader of the log could impersonate a workspace, and prompts and answers
// contain what members told their advisor.
var secretNames = []string{"key", "authorization", "secret", "password", "prompt", "messages", "answer", "body", "cookie", "bearer"}

// New returns a logger that writes JSON lines of at least the level debug, info, warn
// or error. Writes are serialized.
func New(w io.Writer, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("set up log: level %q: want debug, info, warn or error", level)
	}
	return zap.New(redactor{newCore(w, l)}), nil
}

func newCore(w io.Writer, l zapcore.Level) zapcore.Core {
	config := zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "level",
		NameKey:        "logger",
		MessageKey:     "message",
		StacktraceKey:  "stack",
		EncodeTime:     zapcore.TimeEncoderOfLayout(time.RFC3339Nano),
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	}
	return zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.Lock(zapcore.AddSync(w)), l)
}

// RequestID returns a field with the request's id, unique over all entry hosts.
func RequestID(id string) zap.Field {
	return zap.String("request_id", id)
}

// Attempt returns a field with the number of the request's attempt, from 1.
func Attempt(n int) zap.Field {
	return zap.Int("attempt", n)
}

// Step returns a field that names the operation that was in progress.
func Step(step string) zap.Field {
	return zap.String("step", step)
}

// Peer returns a field with the address of the peer.
func Peer(peer netip.AddrPort) zap.Field {
	return zap.Stringer("peer", peer)
}

// Workspace returns a field with the workspace's name.
func Workspace(name string) zap.Field {
	return zap.String("workspace", name)
}

// Generation returns a field with a generation of the configuration.
func Generation(n uint64) zap.Field {
	return zap.Uint64("generation", n)
}

// redactor replaces the values of secret fields before the core writes or stores them.
type redactor struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (r redactor) With(fields []zapcore.Field) zapcore.Core {
	return redactor{r.Core.With(redact(fields))}
}

// Check implements zapcore.Core.
func (r redactor) Check(e zapcore.Entry, c *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if r.Enabled(e.Level) {
		return c.AddCore(e, r)
	}
	return c
}

// Write implements zapcore.Core.
func (r redactor) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return r.Core.Write(e, redact(fields))
}

func redact(fields []zapcore.Field) []zapcore.Field {
	var clean []zapcore.Field
	for i, f := range fields {
		if isNumeric(f) || !isSecret(f.Key) {
			continue
		}
		if clean == nil {
			clean = append(clean, fields...)
		}
		clean[i] = zap.String(f.Key, redacted)
	}
	if clean == nil {
		return fields
	}
	return clean
}

// isNumeric reports whether a field holds a number, time or bool. Such a value, for
// example prompt_tokens, is not secret whatever its name.
func isNumeric(f zapcore.Field) bool {
	switch f.Type {
	case zapcore.BoolType, zapcore.DurationType, zapcore.TimeType, zapcore.TimeFullType,
		zapcore.Float32Type, zapcore.Float64Type,
		zapcore.Int8Type, zapcore.Int16Type, zapcore.Int32Type, zapcore.Int64Type,
		zapcore.Uint8Type, zapcore.Uint16Type, zapcore.Uint32Type, zapcore.Uint64Type:
		return true
	default:
		return false
	}
}

func isSecret(name string) bool {
	name = strings.ToLower(name)
	for _, s := range secretNames {
		if strings.Contains(name, s) {
			return true
		}
	}
	return false
}

// SupervisorHook returns a hook that logs a supervisor's events.
func SupervisorHook(logger *zap.Logger) suture.EventHook {
	return func(e suture.Event) {
		switch e := e.(type) {
		case suture.EventServicePanic:
			logger.Error("service panicked", zap.String("service", e.ServiceName), zap.String("panic", e.PanicMsg), zap.String("stack", e.Stacktrace))
		case suture.EventServiceTerminate:
			logger.Error("service ended", zap.String("service", e.ServiceName), zap.Any("error", e.Err), zap.Bool("restarting", e.Restarting))
		case suture.EventBackoff:
			logger.Warn("supervisor backs off", zap.String("supervisor", e.SupervisorName))
		}
	}
}
