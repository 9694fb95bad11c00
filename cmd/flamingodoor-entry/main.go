// Command flamingodoor-entry serves callers on an entry host of the platform.
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

	"flamingodoor.example/flamingodoor/internal/hedging"
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
	Settings    string  `long:"settings" description:"path of the platform's settings file; by default the path that the platform names"`
	LogLevel    string  `long:"log-level" env:"FLAMINGODOOR_LOG_LEVEL" default:"info" description:"lowest level of log lines" choice:"debug" choice:"info" choice:"warn" choice:"error"`
	MetricsPort uint16  `long:"metrics-port" env:"FLAMINGODOOR_METRICS_PORT" default:"9464" description:"port of the metrics on the host's address"`
	HedgeLimit  float64 `long:"hedge-limit" env:"FLAMINGODOOR_HEDGE_LIMIT" default:"0" description:"share of the engine time of all requests that hedges may use, 0 to 0.2; 0 is off"`
	Check       bool    `long:"check" description:"check the settings and exit"`
	Version     func()  `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run())
}

func run() int {
	// Registered first, because a SIGHUP during startup would otherwise end the
	// process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	flagValues := options{Settings: os.Getenv(platform.SettingsVariable)}
	flagValues.Version = func() {
		_, _ = fmt.Fprintln(os.Stdout, "flamingodoor-entry", version.Release())
		os.Exit(0)
	}
	if _, err := flags.Parse(&flagValues); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			return 0
		}
		return exitUsage
	}
	if err := hedging.CheckLimit(flagValues.HedgeLimit); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	settings, err := platform.ReadSettings(flagValues.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	settings.MetricsPort, settings.HedgeLimit = flagValues.MetricsPort, flagValues.HedgeLimit
	if flagValues.Check {
		return 0
	}
	output := logging.NewQueue(os.Stdout)
	defer output.Close()
	return serve(settings, reloader{path: flagValues.Settings, hangups: hangups}, logging.New(output, flagValues.LogLevel, settings.HostID))
}

// reloader reads the settings file again at each SIGHUP.
type reloader struct {
	path    string
	hangups <-chan os.Signal
}

// run sends changed settings until the context ends. A file that cannot be read
// changes nothing.
func (r reloader) run(ctx context.Context, changed chan<- platform.Settings, logger log.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hangups:
		}
		settings, err := platform.ReadSettings(r.path)
		if err != nil {
			_ = level.Error(logger).Log("event", "reload_failed", "path", r.path, "err", err)
			continue
		}
		_ = level.Info(logger).Log("event", "reloaded", "path", r.path)
		changed <- settings
	}
}

// serve runs the entry host until SIGINT or SIGTERM and returns the exit code.
func serve(settings platform.Settings, settingsReloader reloader, logger log.Logger) int {
	metrics, err := telemetry.New()
	if err != nil {
		_ = level.Error(logger).Log("event", "failed", "err", err)
		return exitFailure
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	changed := make(chan platform.Settings, 1)
	go settingsReloader.run(ctx, changed, logger)
	if err := platform.Run(ctx, settings, changed, metrics, logger); err != nil {
		_ = level.Error(logger).Log("event", "failed", "err", err)
		return exitFailure
	}
	return 0
}
