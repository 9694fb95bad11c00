// Command standin-endpoint is a test double of a model engine or a plain
// service.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

const (
	// exitCrash is the exit code of a crash that a prompt causes; see --crash-word.
	exitCrash         = 3
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 5 * time.Second
)

type arguments struct {
	Listen             string        `long:"listen" default:"127.0.0.1:0" description:"address to listen on"`
	Service            bool          `long:"service" description:"serve as a plain service"`
	ServiceDelay       time.Duration `long:"service-delay" description:"time from running a call to its answer"`
	Incarnation        string        `long:"incarnation" description:"name of this run (default: random)"`
	ChecksFencing      bool          `long:"checks-fencing" description:"compare fencing numbers"`
	Capacity           int           `long:"capacity" description:"requests in flight above which the answer is 429 (0: no limit)"`
	LoadTime           time.Duration `long:"load-time" description:"time to load weights after an order"`
	ColdRequests       int           `long:"cold-requests" description:"requests until warm"`
	ColdTime           time.Duration `long:"cold-time" description:"time until warm"`
	ColdDelay          time.Duration `long:"cold-delay" description:"time to the first token while cold"`
	ColdGrace          time.Duration `long:"cold-grace" description:"time after /v1/control/cold in which requests in flight are not counted"`
	FirstTokenDelay    time.Duration `long:"first-token-delay" default:"20ms" description:"time to the first token"`
	TokenInterval      time.Duration `long:"token-interval" default:"5ms" description:"time between tokens"`
	AnswerTokens       int           `long:"answer-tokens" default:"16" description:"tokens of an uncut answer"`
	ReportLag          time.Duration `long:"report-lag" description:"lag of reports and cache events"`
	CachePrefixes      int           `long:"cache-prefixes" default:"4096" description:"prefixes in the cache"`
	CacheEvents        int           `long:"cache-events" default:"4096" description:"cache events kept"`
	CacheGapEvery      int           `long:"cache-gap-every" description:"drop the kept cache events at each multiple (0: never)"`
	CrashWord          string        `long:"crash-word" description:"exit when a prompt contains this word"`
	CrashAfter         int           `long:"crash-after" description:"tokens sent before the crash"`
	RunAfterDisconnect bool          `long:"run-after-disconnect" description:"keep running requests whose connection is lost"`
}

func main() {
	if err := run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	var args arguments
	if _, err := flags.Parse(&args); err != nil {
		if flags.WroteHelp(err) {
			return nil
		}
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", args.Listen)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(os.Stdout, "listening address=%s\n", listener.Addr())
	server := &http.Server{
		Handler:           standinendpoint.New(options(args)...).Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	go func() {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func options(args arguments) []standinendpoint.Option {
	list := []standinendpoint.Option{
		standinendpoint.WithCapacity(args.Capacity),
		standinendpoint.WithLoadTime(args.LoadTime),
		standinendpoint.WithColdRequests(args.ColdRequests),
		standinendpoint.WithColdTime(args.ColdTime),
		standinendpoint.WithColdDelay(args.ColdDelay),
		standinendpoint.WithColdGrace(args.ColdGrace),
		standinendpoint.WithTokenTimes(args.FirstTokenDelay, args.TokenInterval),
		standinendpoint.WithAnswerTokens(args.AnswerTokens),
		standinendpoint.WithReportLag(args.ReportLag),
		standinendpoint.WithCache(args.CachePrefixes, args.CacheEvents),
		standinendpoint.WithCacheGapEvery(args.CacheGapEvery),
		standinendpoint.WithCrash(args.CrashWord, args.CrashAfter, func() { os.Exit(exitCrash) }),
	}
	if args.Service {
		list = append(list, standinendpoint.WithService(args.ServiceDelay))
	}
	if args.Incarnation != "" {
		list = append(list, standinendpoint.WithIncarnation(args.Incarnation))
	}
	if args.ChecksFencing {
		list = append(list, standinendpoint.WithFencing())
	}
	if args.RunAfterDisconnect {
		list = append(list, standinendpoint.WithRunAfterDisconnect())
	}
	return list
}
