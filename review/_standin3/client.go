package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const hostname = "ledger.example"

// client sends requests to the hosts, each on the connection that it keeps to its host.
type client struct {
	notes *recorder
	key   string
	http  *http.Client

	mu      sync.Mutex
	results map[string]int
	pending sync.WaitGroup
}

func newClient(notes *recorder, key string) *client {
	return &client{notes: notes, key: key, results: make(map[string]int), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends one request and returns its status, or 0 if it got no answer.
func (c *client) send(h *host, method, path string, deadline time.Duration) int {
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body []byte
	if method == http.MethodPost {
		body = bytes.Repeat([]byte("p"), 600)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = hostname
	request.Header.Set("Flamingodoor-Request-Id", id)
	request.Header.Set("Flamingodoor-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+c.key)
	if strings.HasPrefix(path, "/stream/") {
		request.Header.Set("Flamingodoor-Model", modelID)
		request.Header.Set("Flamingodoor-Token-Usage", "1200,175")
		request.Header.Set("Flamingodoor-Prefix-Hash", "5c1e07a2:40,"+id+":1160")
	}
	c.notes.note("client sends %s %s %s to %s", method, path, id, h.name)
	status, text := 0, ""
	response, err := c.http.Do(request)
	if err == nil {
		data, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			status, text = response.StatusCode, string(data)
		}
	}
	if status >= 400 {
		text = strings.TrimSpace(text)
	} else {
		text = ""
	}
	c.notes.note("client gets %d for %s from %s %s", status, id, h.name, text)
	c.mu.Lock()
	c.results[fmt.Sprintf("%s %d", method, status)]++
	c.mu.Unlock()
	return status
}

// run sends requests at a rate to the hosts in turn until the time is over. One in four is
// a payment, the others are lookups.
func (c *client) run(hosts []*host, perSecond float64, length time.Duration) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		<-ticker.C
		h := hosts[i%len(hosts)]
		method, path := http.MethodGet, "/read/balance"
		if i%4 == 0 {
			method, path = http.MethodPost, "/post/payment"
		}
		c.pending.Go(func() { c.send(h, method, path, 1500*time.Millisecond) })
	}
	c.pending.Wait()
}

// runStreams sends requests for streams at a rate to the hosts in turn until the time is
// over.
func (c *client) runStreams(hosts []*host, perSecond float64, length time.Duration) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		<-ticker.C
		c.pending.Go(func() { c.send(hosts[i%len(hosts)], http.MethodPost, "/stream/explain", 8*time.Second) })
	}
	c.pending.Wait()
}
