package logqueue

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes one JSON object per line, with RFC 3339 timestamps in nanosecond resolution and
// durations in milliseconds.
func NewLogger(out zapcore.WriteSyncer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), out, zapcore.InfoLevel))
}
