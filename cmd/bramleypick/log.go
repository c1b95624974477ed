package main

import (
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/bramleypick/bramleypick/internal/settings"
)

func newLog(s settings.Settings) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	level, err := zap.ParseAtomicLevel(s.Log.Level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	config.Level = level
	config.Sampling = nil
	log, err := config.Build(zap.WrapCore(func(core zapcore.Core) zapcore.Core { return errorTextCore{core} }))
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	return log.With(zap.String("vm", s.Name), zap.String("zone", s.Zone)), nil
}

// errorTextCore logs errors by their text alone. zap would add the stack trace of each wrapped error, about 3 KB for a refused
// connection.
type errorTextCore struct{ zapcore.Core }

// With adds fields to every entry.
func (c errorTextCore) With(fields []zapcore.Field) zapcore.Core {
	return errorTextCore{c.Core.With(errorTextFields(fields))}
}

// Check adds this core to an entry that is to be logged.
func (c errorTextCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write logs an entry.
func (c errorTextCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, errorTextFields(fields))
}

func errorTextFields(fields []zapcore.Field) []zapcore.Field {
	plain := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		plain[i] = f
	}
	return plain
}
