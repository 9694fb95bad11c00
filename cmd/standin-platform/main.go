// Command standin-platform is a test double of the platform. It serves the log,
// host list and weight store from memory, for tests and the demo.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	standinplatform "flamingodoor.example/flamingodoor/internal/standin/platform"
)

type options struct {
	Listen     string        `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	Retention  time.Duration `long:"retention" default:"25h" description:"how long the log keeps records"`
	AppendRate float64       `long:"append-rate" default:"0" description:"appends per second; 0 for no limit"`
	HostLag    time.Duration `long:"host-lag" default:"0s" description:"delay of the host list"`
	WeightRate uint64        `long:"weight-rate" default:"0" description:"bytes per second of the weight store; 0 for no limit"`
}

func main() {
	var args options
	if _, err := flags.Parse(&args); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args options) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", args.Listen)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(os.Stdout, "listening address=%s\n", listener.Addr()); err != nil {
		return err
	}
	return standinplatform.New(
		standinplatform.WithRetention(args.Retention),
		standinplatform.WithAppendRate(args.AppendRate),
		standinplatform.WithHostLag(args.HostLag),
		standinplatform.WithWeightRate(args.WeightRate),
	).Serve(ctx, listener)
}
