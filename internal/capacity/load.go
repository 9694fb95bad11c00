package main

import (
	"context"
	"fmt"
	"sync/atomic"

	"flamingodoor.example/flamingodoor/internal/harness"
)

const tokensPerRequest = 100

// load counts the results of callers that keep streams in flight through every
// host.
type load struct {
	tokens atomic.Int64
	failed atomic.Int64 // requests without a complete answer
}

// startLoad starts the given number of streams through each host. A finished
// stream is followed by the next one until the context ends.
func startLoad(ctx context.Context, testbed *harness.Testbed, streams int) *load {
	l := &load{}
	for entry := range testbed.Deployment.Entries {
		caller := testbed.NewCaller(entry)
		for stream := range streams {
			go l.run(ctx, caller, fmt.Sprintf("host %d stream %d", entry, stream))
		}
	}
	return l
}

func (l *load) run(ctx context.Context, caller *harness.Caller, name string) {
	for request := 0; ctx.Err() == nil; request++ {
		prompt := fmt.Sprintf("%s request %d", name, request)
		answer, err := caller.Stream(ctx, prompt, tokensPerRequest, func(string) { l.tokens.Add(1) })
		if err != nil || !answer.Complete {
			l.failed.Add(1)
		}
	}
}
