package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/engine"
	"flamingodoor.example/flamingodoor/internal/harness"
)

const (
	plainTries   = 3
	modelVersion = "v1"
)

// sender sends requests through the entry hosts or, with the plain policy,
// directly to random heads.
type sender struct {
	testbed *harness.Testbed
	plain   bool
	callers []*harness.Caller
	engine  *engine.Client
	heads   []head
}

// head is the first engine of a group, which receives the requests of the group.
type head struct {
	address       netip.AddrPort
	fencingNumber uint64
}

func newSender(testbed *harness.Testbed, policy string) *sender {
	s := &sender{testbed: testbed, plain: policy == "plain", engine: engine.NewClient()}
	for index := range testbed.Deployment.Entries {
		s.callers = append(s.callers, testbed.NewCaller(index))
	}
	return s
}

// refresh updates the list of heads, which excludes data centres out of service.
// The plain policy thus follows a change of the configuration without delay.
func (s *sender) refresh(ctx context.Context) error {
	status, err := s.testbed.Deployment.Entries[0].Status(ctx)
	if err != nil {
		return err
	}
	outOfService := make(map[string]bool)
	for _, name := range status.GetRestrictedDataCentres() {
		outOfService[name] = true
	}
	names, err := s.testbed.OutOfServiceDataCentres(ctx)
	if err != nil {
		return err
	}
	for _, name := range names {
		outOfService[name] = true
	}
	s.heads = nil
	for _, endpoint := range s.testbed.Engines {
		report, err := s.engine.Report(ctx, flamingodoor.Endpoint{ID: endpoint.Name, Address: endpoint.Proxy.Address()})
		if err != nil || report.GroupID == "" || report.MemberIndex != 0 || outOfService[endpoint.DataCentre] {
			continue
		}
		s.heads = append(s.heads, head{endpoint.Proxy.Address(), report.FencingNumber})
	}
	return nil
}

// send sends one request. The random number choice selects the entry host or the
// heads.
func (s *sender) send(ctx context.Context, choice uint64) harness.Answer {
	prompt := fmt.Sprintf("request %d", choice)
	if s.plain {
		return s.sendPlain(ctx, prompt, choice)
	}
	caller := s.callers[choice%uint64(len(s.callers))]
	answer, err := caller.Stream(ctx, prompt, requestTokens, nil)
	if err != nil {
		return harness.Answer{}
	}
	return answer
}

// sendPlain sends the request to at most three heads, each time from the
// beginning, until one completes it. Each try shifts choice by 8 bits to select
// another random head.
func (s *sender) sendPlain(ctx context.Context, prompt string, choice uint64) harness.Answer {
	started := time.Now()
	for try := range plainTries {
		target := s.heads[(choice>>(8*try))%uint64(len(s.heads))]
		answer, err := s.generate(ctx, target, prompt, started, try)
		if err == nil {
			return answer
		}
	}
	return harness.Answer{}
}

func (s *sender) generate(ctx context.Context, target head, prompt string, started time.Time, try int) (harness.Answer, error) {
	chunks, err := s.engine.Generate(ctx, flamingodoor.Endpoint{Address: target.address}, flamingodoor.GenerateRequest{
		RequestID: prompt, Attempt: try, ModelID: harness.ModelID, Version: modelVersion,
		Prompt: prompt, MaxTokens: requestTokens, FencingNumber: target.fencingNumber,
	})
	if err != nil {
		return harness.Answer{}, err
	}
	defer func() { _ = chunks.Close() }()
	var answer harness.Answer
	last := started
	for {
		chunk, err := chunks.Next()
		if err == io.EOF { //nolint:errorlint // Next returns io.EOF itself.
			answer.Complete = true
			return answer, nil
		}
		if err != nil {
			return harness.Answer{}, err
		}
		if chunk.Done {
			continue
		}
		now := time.Now()
		if answer.Tokens == 0 {
			answer.FirstToken = now.Sub(started)
		} else {
			answer.Gaps = append(answer.Gaps, now.Sub(last))
		}
		answer.Tokens++
		last = now
	}
}
