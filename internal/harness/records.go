package harness

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"flamingodoor.example/flamingodoor/internal/faultproxy"
	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

// Records returns what an endpoint stand-in received. It queries the stand-in
// directly, not through the proxy.
func (e *Endpoint) Records(ctx context.Context) (standinendpoint.Records, error) {
	var records standinendpoint.Records
	err := e.callDirect(ctx, http.MethodGet, "/v1/records", &records)
	return records, err
}

// LoadGenerator sends streamed requests to entry hosts with a constant number of
// callers.
type LoadGenerator struct {
	Complete atomic.Int64 // answers that ended with [DONE]
	Broken   atomic.Int64 // streams that broke or ended with an error
	Refused  atomic.Int64 // requests refused before the first token
	cancel   context.CancelFunc
	callers  sync.WaitGroup
	ending   chan struct{} // closed by Finish
	finish   func()
}

// StartLoad starts callers of every entry host except the excluded ones. Each
// caller sends its next request when the pause after its last one is over.
func (t *Testbed) StartLoad(ctx context.Context, callersPerEntry, tokens int, pause time.Duration, excluded ...*Entry) *LoadGenerator {
	ctx, cancel := context.WithCancel(ctx)
	load := &LoadGenerator{cancel: cancel, ending: make(chan struct{})}
	load.finish = sync.OnceFunc(func() { close(load.ending) })
	for index, entry := range t.Deployment.Entries {
		if slices.Contains(excluded, entry) {
			continue
		}
		for number := range callersPerEntry {
			caller := t.NewCaller(index)
			prefix := strconv.Itoa(index) + "/" + strconv.Itoa(number) + "/"
			load.callers.Go(func() { load.run(ctx, caller, prefix, tokens, pause) })
		}
	}
	return load
}

func (l *LoadGenerator) run(ctx context.Context, caller *Caller, prefix string, tokens int, pause time.Duration) {
	for number := 0; ctx.Err() == nil; number++ {
		answer, err := caller.Stream(ctx, prefix+strconv.Itoa(number), tokens, nil)
		switch {
		case ctx.Err() != nil:
		case answer.Complete:
			l.Complete.Add(1)
		case err == nil && answer.Tokens == 0:
			l.Refused.Add(1)
		default:
			l.Broken.Add(1)
		}
		select {
		case <-ctx.Done():
		case <-l.ending:
			return
		case <-time.After(pause):
		}
	}
}

// Finish waits until the requests in flight have been answered. No others are sent.
func (l *LoadGenerator) Finish() {
	l.finish()
	l.callers.Wait()
}

// Stop cancels the requests in flight and waits until all callers have ended.
func (l *LoadGenerator) Stop() {
	l.cancel()
	l.callers.Wait()
}

// History holds the records that were read from the engines of a testbed, and
// the outages that the test caused.
type History struct {
	testbed *Testbed
	mutex   sync.Mutex
	records map[string]standinendpoint.Records
	outages map[string][]Outage
}

// Outage is a period in which an engine was unreachable or dead. It has not ended
// if To is zero.
type Outage struct {
	From, To time.Time
}

// NewHistory returns a history of a testbed without records and outages.
func NewHistory(testbed *Testbed) *History {
	return &History{testbed: testbed, records: map[string]standinendpoint.Records{}, outages: map[string][]Outage{}}
}

// Update reads the records of all engines. Those of an engine that does not
// answer stay as they were read last.
func (h *History) Update(ctx context.Context) {
	var reads sync.WaitGroup
	defer reads.Wait()
	for _, engine := range h.testbed.Engines {
		reads.Go(func() { h.update(ctx, engine) })
	}
}

func (h *History) update(ctx context.Context, engine *Endpoint) {
	records, err := engine.Records(ctx)
	if err != nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.records[engine.Name] = records
}

// Kill reads the records of an engine, kills it and records the outage.
func (h *History) Kill(ctx context.Context, engine *Endpoint) {
	h.update(ctx, engine)
	engine.Kill()
	h.addOutage(engine, Outage{From: time.Now()})
}

// Silence makes the proxy of an engine forward nothing until Heal, and records
// the outage. The test still reaches the engine directly.
func (h *History) Silence(engine *Endpoint) {
	engine.Proxy.SetRule(faultproxy.Silent)
	h.addOutage(engine, Outage{From: time.Now()})
}

// Heal restores the connections of an engine after Silence and ends the outage.
func (h *History) Heal(engine *Endpoint) {
	h.mutex.Lock()
	if outages := h.outages[engine.Name]; len(outages) > 0 {
		outages[len(outages)-1].To = time.Now()
	}
	h.mutex.Unlock()
	// Closing the connections first discards the data that the proxy holds back, as
	// a switch that loses its power discards its packets.
	engine.Proxy.SetRule(faultproxy.Refused)
	time.Sleep(pollInterval)
	engine.Proxy.Heal()
}

func (h *History) addOutage(engine *Endpoint, outage Outage) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.outages[engine.Name] = append(h.outages[engine.Name], outage)
}

// Records returns the last records read from an engine.
func (h *History) Records(engine *Endpoint) standinendpoint.Records {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.records[engine.Name]
}

// Outages returns the outages of an engine.
func (h *History) Outages(engine *Endpoint) []Outage {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clone(h.outages[engine.Name])
}
