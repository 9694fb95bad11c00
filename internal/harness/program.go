package harness

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Task is the work of a tool that runs deployments. It gets the directory of the
// built programs and the writer for the output of the processes that it starts.
type Task func(ctx context.Context, programs string, log io.Writer) error

// Main runs a tool that starts deployments: it parses the options, builds the
// programs of the repository, runs the task and returns the exit code. The
// working directory must be the root of the repository.
func Main(name string, options any, task Task) int {
	if _, err := flags.Parse(options); err != nil {
		if flags.WroteHelp(err) {
			return 0
		}
		return 1
	}
	if err := runTask(name, task); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return 1
	}
	return 0
}

func runTask(name string, task Task) error {
	// If the reader of the tool's output closes it early, SIGPIPE would end the
	// tool before the tool has ended its processes.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	directory, err := os.MkdirTemp("", "flamingodoor-"+name+"-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if err := Build(ctx, ".", directory, false); err != nil {
		return err
	}
	path := filepath.Join(os.TempDir(), "flamingodoor-"+name+".log")
	log, err := os.Create(path) //nolint:gosec // Name of the program in the temporary directory.
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	_, _ = fmt.Fprintln(os.Stderr, "output of all processes:", path)
	return task(ctx, directory, log)
}
