// Command flamingodoorctl is the operators' command-line tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"flamingodoor.example/flamingodoor/internal/ctl"
)

// version is set by the linker.
var version = "devel"

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ctl.Run(ctx, version, os.Args[1:], os.Stdout, os.Stderr)
}
