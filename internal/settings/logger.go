package settings

import (
	"fmt"

	"go.uber.org/zap"
)

// NewLogger returns a logger configured by the settings. It writes to standard error.
func NewLogger(s Settings) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	if s.LogFormat == LogFormatConsole {
		config.Encoding = "console"
		config.EncoderConfig = zap.NewDevelopmentEncoderConfig()
	}
	config.Level = zap.NewAtomicLevelAt(s.Level())
	logger, err := config.Build()
	if err != nil {
		return nil, fmt.Errorf("logger: %w", err)
	}
	return logger.With(zap.String("host", string(s.HostID))), nil
}
