package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	ledgerHost = "ficu95.example"
	ledgerKey  = "n2ctnfzs989anu6wsjnb"
)

const (
	ledgerRoutes = `{"name":"r-pay","hostname":"ficu95.example","path_prefix":"/puxa403/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"ledger-api","max_attempts":1,"public":false,"sticky":false},` +
		`{"name":"r-read","hostname":"ficu95.example","path_prefix":"/cufi504/","kind":"idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"ledger-api","max_attempts":2,"public":false,"sticky":false}`
	ledgerService = `{"name":"ledger-api","health_path":"/health","max_connections":100,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":0}`
	llmService    = `{"name":"billing-llm","health_path":"/health","max_connections":464,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":38.0,"engine":{"slots":26,"kv_capacity_tokens":1590000,"kv_token_bytes":327680,"link_mbps":400000.0,"stride":7,"step_ms":5.95,"per_seq_ms":0.0445,"context_per_k":0.00813,"read_per_s":50700,"pairs_per_m":0.368,"chunk":2048,"report_lag_ms":200,"loads_per_s":4.5,"loads_at_once":6,"keeps":1,"form_ms":300,"usual":{"prompt":1420,"answer":172},` +
		`"models":[{"name":"daka510000","size":4,"share":1.0,"pace":1.0,"load_s":16.0,"warm_s":1.6}]}}`
)

func llmRoutes(resumable bool) string {
	return `{"name":"r-explain","hostname":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":8000,"target_latency_ms":300,"priority":1,"service":"billing-llm","max_attempts":2,"public":false,"sticky":true,"resumable":` + fmt.Sprint(resumable) + `,"gap_aim_ms":300}`
}

// configuration returns a configuration of a small deployment.
func configuration(version int, routes, services string, keys ...string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["%s"]}]}`,
		version, routes, services, strings.Join(keys, `","`))
}

func ledgerConfig(version int, keys ...string) string {
	return configuration(version, ledgerRoutes, ledgerService, keys...)
}

func llmConfig(resumable bool) string {
	return configuration(7, llmRoutes(resumable), llmService, ledgerKey)
}

func bothConfig() string {
	return configuration(7, ledgerRoutes+","+llmRoutes(true), ledgerService+","+llmService, ledgerKey)
}

// runLog holds the requests that workers ran.
type runLog struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *runLog) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *runLog) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// startLedger starts the workers of the ledger service.
func startLedger(store *Store) *runLog {
	log := &runLog{runs: map[string]int{}}
	for i, zone := range []string{"dar-a", "dar-b", "dar-c"} {
		worker := NewPlain(store, fmt.Sprintf("i-led%d", i), "ledger-api", zone, 6, 24, 60*time.Millisecond)
		worker.OnRun = func(id string, _ *http.Request, _ []byte) {
			note("worker %s runs %s", worker.ID, id)
			log.add(id)
		}
	}
	return log
}

// prepareEntries returns an entry host in each zone, not started.
func prepareEntries(store string) []*Entry {
	var entries []*Entry
	for i, zone := range []string{"dar-a", "dar-b", "dar-c"} {
		entries = append(entries, NewEntry(i, zone, store, usualBounds))
	}
	return entries
}

// startEntries starts entry hosts and waits until they are ready.
func startEntries(entries ...*Entry) {
	for _, entry := range entries {
		entry.Start()
	}
	for _, entry := range entries {
		entry.AwaitReady(20 * time.Second)
	}
}
