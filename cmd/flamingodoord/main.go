// Command flamingodoord is the daemon that every entry host runs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor/internal/config"
	"flamingodoor.example/flamingodoor/internal/daemon"
	"flamingodoor.example/flamingodoor/internal/logging"
	"flamingodoor.example/flamingodoor/internal/version"
)

// Exit codes of a failed run and of invalid settings.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	settings, err := config.Parse(os.Args[1:])
	switch {
	case config.IsHelp(err):
		_, _ = fmt.Fprintln(os.Stdout, err)
		return 0
	case err != nil:
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitUsage
	case settings.Version:
		_, _ = fmt.Fprintln(os.Stdout, "flamingodoord", version.Release())
		return 0
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger := logging.New(os.Stderr, settings.LogLevel, settings.HostID)
	if err := daemon.Run(ctx, settings, logger, os.Stdout); err != nil {
		_ = level.Error(logger).Log("event", "failed", "err", err)
		return exitFailure
	}
	return 0
}
