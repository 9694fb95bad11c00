// Package logging creates the logger of the programs, which writes key=value
// lines.
package logging

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes each event as a line of key=value pairs and
// drops events below the named level. An unknown name means info.
func New(output io.Writer, minLevel, hostID string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(output))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
	return log.With(logger, "time", log.DefaultTimestampUTC, "host", hostID)
}
