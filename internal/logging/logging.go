// Package logging creates the key=value logger of the programs.
package logging

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes one line of key=value pairs an event and
// drops events below the named level.
func New(output io.Writer, lowest, hostID string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(output))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(lowest, level.InfoValue())))
	return log.With(logger, "time", log.DefaultTimestampUTC, "host", hostID)
}
