// Command flamingodoorctl is the operators' command-line tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"flamingodoor.example/flamingodoor/internal/ctl"
	"flamingodoor.example/flamingodoor/internal/version"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ctl.Run(ctx, version.Release(), os.Args[1:], os.Stdout, os.Stderr)
}
