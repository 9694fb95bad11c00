// Command flamingodoor-entry serves callers on an entry host of the users'
// platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jessevdk/go-flags"

	"flamingodoor.example/flamingodoor/internal/logging"
	"flamingodoor.example/flamingodoor/internal/telemetry"
	"flamingodoor.example/flamingodoor/internal/version"
	"flamingodoor.example/flamingodoor/platform"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

type options struct {
	Settings    string `long:"settings" env:"FLAMINGODOOR_CONFIG" description:"path of the platform's settings file" required:"true"`
	LogLevel    string `long:"log-level" env:"FLAMINGODOOR_LOG_LEVEL" default:"info" description:"lowest level of log lines" choice:"debug" choice:"info" choice:"warn" choice:"error"`
	MetricsPort uint16 `long:"metrics-port" env:"FLAMINGODOOR_METRICS_PORT" default:"9464" description:"port of the metrics on the host's address"`
	Check       bool   `long:"check" description:"check the settings and exit"`
	Version     func() `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run())
}

func run() int {
	var parsed options
	parsed.Version = func() {
		_, _ = fmt.Fprintln(os.Stdout, "flamingodoor-entry", version.Release())
		os.Exit(0)
	}
	if _, err := flags.Parse(&parsed); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			return 0
		}
		return exitUsage
	}
	settings, err := platform.ReadSettings(parsed.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	settings.MetricsPort = parsed.MetricsPort
	if parsed.Check {
		return 0
	}
	output := logging.NewQueue(os.Stdout)
	defer output.Close()
	return serve(settings, logging.New(output, parsed.LogLevel, settings.HostID))
}

func serve(settings platform.Settings, logger log.Logger) int {
	metrics, err := telemetry.New()
	if err != nil {
		_ = level.Error(logger).Log("event", "failed", "err", err)
		return exitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := platform.Run(ctx, settings, metrics, logger); err != nil {
		_ = level.Error(logger).Log("event", "failed", "err", err)
		return exitFailure
	}
	return 0
}
