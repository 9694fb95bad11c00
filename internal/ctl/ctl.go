// Package ctl implements flamingodoorctl, the operators' command-line tool.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/user"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/jessevdk/go-flags"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/operator"
)

// Exit codes.
const (
	ExitDone     = 0
	ExitFailed   = 1 // rejected or failed
	ExitUsage    = 2
	ExitRecorded = 3 // recorded but not yet accepted
)

const (
	outputJSON  = "json"
	programName = "flamingodoorctl"
)

type globalOptions struct {
	Servers []string      `long:"server" short:"s" env:"FLAMINGODOOR_SERVER" env-delim:"," default:"127.0.0.1:7200" value-name:"ADDRESS" description:"entry host to call; repeat it or give a comma list to name others to try next"`
	Token   string        `long:"token" env:"FLAMINGODOOR_TOKEN" default-mask:"-" value-name:"TOKEN" description:"operators' bearer token"`
	Author  string        `long:"author" env:"FLAMINGODOOR_AUTHOR" value-name:"NAME" description:"name shown in the history (default: the current user)"`
	Output  string        `long:"output" short:"o" choice:"text" choice:"json" default:"text" description:"form of the output"`
	Timeout time.Duration `long:"timeout" default:"30s" value-name:"DURATION" description:"longest duration of the command over all servers"`
	Version bool          `long:"version" description:"print the version and exit"`
}

// app holds the options and outputs of one run of the tool.
type app struct {
	options globalOptions
	ctx     context.Context // of this run; go-flags passes no context to commands
	http    connect.HTTPClient
	stdout  io.Writer
	stderr  io.Writer
}

// exitError is an error with an exit code other than ExitFailed.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// Run runs the command that the arguments name and returns the exit code.
func Run(ctx context.Context, version string, args []string, stdout, stderr io.Writer) int {
	a := &app{ctx: ctx, http: http.DefaultClient, stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	if err := a.registerCommands(parser); err != nil {
		return a.reportError(err)
	}
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		switch {
		case a.options.Version:
			return a.print("%s %s\n", programName, version)
		case command == nil:
			return usageError("a command is needed; see %s --help", programName)
		case len(rest) > 0:
			return usageError("unexpected argument %q", rest[0])
		}
		ctx, cancel := context.WithTimeout(a.ctx, a.options.Timeout)
		defer cancel()
		a.ctx = ctx
		return command.Execute(rest)
	}
	_, err := parser.ParseArgs(args)
	return a.reportError(err)
}

func (a *app) registerCommands(parser *flags.Parser) error {
	if _, err := parser.AddGroup("Global options", "", &a.options); err != nil {
		return err
	}
	for _, command := range []struct {
		name, short string
		data        any
	}{
		{"apply", "Change the configuration to what a file declares", &applyCommand{app: a}},
		{"get", "List objects of the configuration", &getCommand{app: a}},
		{"history", "List the latest commands and their verdicts", &historyCommand{app: a}},
		{"drain", "Take a data centre out of service", &drainCommand{app: a}},
		{"return", "Put a data centre back into service", &returnCommand{app: a}},
		{"status", "Show hosts, endpoints and groups as one host sees them", &statusCommand{app: a}},
		{"explain", "Show where an entry host would send a request now, and why", &explainCommand{app: a}},
	} {
		if _, err := parser.AddCommand(command.name, command.short, "", command.data); err != nil {
			return err
		}
	}
	report, err := parser.AddCommand("report", "Compute a report", "", &struct{}{})
	if err != nil {
		return err
	}
	if _, err := report.AddCommand("burn", "Show how fast each club's service-level budgets are used up", "", &burnCommand{app: a}); err != nil {
		return err
	}
	_, err = report.AddCommand("lost", "Show why requests were not answered in time, from the logs of all entry hosts", "", &lostCommand{app: a})
	return err
}

// reportError prints an error or the help text and returns the exit code of the
// tool.
func (a *app) reportError(err error) int {
	if err == nil {
		return ExitDone
	}
	var flagsError *flags.Error
	if errors.As(err, &flagsError) {
		if flagsError.Type == flags.ErrHelp {
			_ = a.print("%s\n", flagsError.Message)
			return ExitDone
		}
		a.warn("%s", flagsError.Message)
		return ExitUsage
	}
	var exit *exitError
	if errors.As(err, &exit) {
		a.warn("%v", exit)
		return exit.code
	}
	a.warn("%s", errorText(err))
	return ExitFailed
}

func usageError(format string, args ...any) error {
	return &exitError{code: ExitUsage, err: flamingodoor.Errorf(flamingodoor.CodeInvalidRequest, format, args...)}
}

func (a *app) print(format string, args ...any) error {
	_, err := fmt.Fprintf(a.stdout, format, args...)
	return err
}

// warn writes a message to standard error. A failure to write it is ignored,
// because the exit code carries the result.
func (a *app) warn(format string, args ...any) {
	_, _ = fmt.Fprintf(a.stderr, programName+": "+format+"\n", args...)
}

// errorText returns the message of an error, preceded by the typed code if the
// error is that of a call to a server.
func errorText(err error) string {
	var failure *connect.Error
	if !errors.As(err, &failure) {
		return err.Error()
	}
	if code := failure.Meta().Get(operator.ErrorCodeHeader); code != "" {
		return code + ": " + failure.Message()
	}
	return failure.Error()
}

func (a *app) author() (string, error) {
	if a.options.Author != "" {
		return a.options.Author, nil
	}
	current, err := user.Current()
	if err != nil || current.Username == "" {
		return "", usageError("--author is needed")
	}
	return current.Username, nil
}

// servers returns the base URLs of the servers in the order in which they are
// tried.
func (a *app) servers() ([]string, error) {
	var servers []string
	for _, list := range a.options.Servers {
		for server := range strings.SplitSeq(list, ",") {
			server = strings.TrimRight(strings.TrimSpace(server), "/")
			switch {
			case server == "":
				continue
			case !strings.Contains(server, "://"):
				server = "http://" + server
			}
			servers = append(servers, server)
		}
	}
	if len(servers) == 0 {
		return nil, usageError("--server is needed")
	}
	return servers, nil
}
