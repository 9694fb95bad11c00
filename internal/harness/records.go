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

// Records asks an endpoint stand-in for what it received, past the proxy.
func (e *Endpoint) Records(ctx context.Context) (standinendpoint.Records, error) {
	var records standinendpoint.Records
	err := e.control(ctx, http.MethodGet, "/v1/records", &records)
	return records, err
}

// LoadGenerator is a constant load of streamed requests on entry hosts.
type LoadGenerator struct {
	Complete atomic.Int64 // answers with the end marker
	Broken   atomic.Int64 // streams that broke or ended with an error
	Refused  atomic.Int64
	stop     context.CancelFunc
	callers  sync.WaitGroup
}

// StartLoad starts callers at every entry host but those left out. Each sends
// its next request a pause after the last one has ended.
func (s *Testbed) StartLoad(ctx context.Context, callersPerEntry, tokens int, pause time.Duration, without ...*Entry) *LoadGenerator {
	ctx, cancel := context.WithCancel(ctx)
	load := &LoadGenerator{stop: cancel}
	for entry, host := range s.Deployment.Entries {
		if slices.Contains(without, host) {
			continue
		}
		for number := range callersPerEntry {
			caller := s.NewCaller(entry)
			prefix := strconv.Itoa(entry) + "/" + strconv.Itoa(number) + "/"
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
		case <-time.After(pause):
		}
	}
}

// Stop ends the load and waits for its callers.
func (l *LoadGenerator) Stop() {
	l.stop()
	l.callers.Wait()
}

// History is what the engines of a scene recorded, with the times for which
// the test made them unreachable or killed them.
type History struct {
	scene   *Testbed
	mutex   sync.Mutex
	records map[string]standinendpoint.Records
	outages map[string][]Outage
}

// Outage is a time in which an engine was missing. The zero end is for ever.
type Outage struct {
	From, To time.Time
}

// NewHistory returns the history of a scene.
func NewHistory(scene *Testbed) *History {
	return &History{scene: scene, records: map[string]standinendpoint.Records{}, outages: map[string][]Outage{}}
}

// Update reads the records of the engines that still run.
func (h *History) Update(ctx context.Context) {
	var reads sync.WaitGroup
	defer reads.Wait()
	for _, engine := range h.scene.Engines {
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

// Kill reads the records of an engine, kills it and notes the time.
func (h *History) Kill(ctx context.Context, engine *Endpoint) {
	h.update(ctx, engine)
	engine.Kill()
	h.note(engine, Outage{From: time.Now()})
}

// Silence silences an engine for everyone but the test until Heal.
func (h *History) Silence(engine *Endpoint) {
	engine.Proxy.SetRule(faultproxy.Silent)
	h.note(engine, Outage{From: time.Now()})
}

// Heal ends the effect of Cut.
func (h *History) Heal(engine *Endpoint) {
	h.mutex.Lock()
	if outages := h.outages[engine.Name]; len(outages) > 0 {
		outages[len(outages)-1].To = time.Now()
	}
	h.mutex.Unlock()
	// What the proxy holds back is lost, like packets in a switch without power.
	engine.Proxy.SetRule(faultproxy.Refused)
	time.Sleep(pollInterval)
	engine.Proxy.Heal()
}

func (h *History) note(engine *Endpoint, outage Outage) {
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

// Outages returns the times in which an engine was missing.
func (h *History) Outages(engine *Endpoint) []Outage {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clone(h.outages[engine.Name])
}
