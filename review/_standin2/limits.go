package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// raisedLimit: the operator raises `max_header_bytes`. Clients with open connections use
// it three seconds after the store has acknowledged the new version.
func raisedLimit(b *bed) int {
	const before, after, used = 8192, 32768, 20000
	config := func(version, limit int) map[string]any {
		c := plainConfig()
		c["version"] = version
		c["limits"].(map[string]any)["max_header_bytes"] = limit
		return c
	}
	deploy(b, 3, 9)
	version := 4
	b.store.put("keyed.op", "config", config(version, before))
	if !b.trouble {
		version++
		b.store.put("keyed.op", "config", config(version, after))
	}
	time.Sleep(3 * time.Second)
	const clients = 24
	begin, stop := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	all, denied := 0, 0
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			h := b.hosts[i%len(b.hosts)]
			var client *keptClient
			for {
				length := 100
				select {
				case <-stop:
					return
				case <-begin:
					length = used
				default:
				}
				if client == nil {
					client = newKeptClient(b, h)
				}
				status := client.get(length)
				mu.Lock()
				all++
				if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
					denied++
				}
				mu.Unlock()
				if status == 0 || client.closed {
					client = nil
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	if b.trouble {
		version++
		b.store.put("keyed.op", "config", config(version, after))
		b.note("the store has acknowledged version %d: max_header_bytes is %d instead of %d", version, after, before)
	}
	time.Sleep(3 * time.Second)
	b.note("clients send headers of %d bytes from now on", used)
	close(begin)
	time.Sleep(6 * time.Second)
	close(stop)
	running.Wait()
	allowed := 5 + all/500
	b.note("%d of %d requests were ended with a 4xx of a host, though every configuration in force allows them; %d are allowed", denied, all, allowed)
	if denied > allowed {
		return broken
	}
	return held
}

// keptClient sends its requests on one connection.
type keptClient struct {
	bed    *bed
	host   *host
	conn   net.Conn
	reader *bufio.Reader
	closed bool // the host announced it
}

func newKeptClient(b *bed, h *host) *keptClient {
	conn, err := net.Dial("tcp", h.front)
	must(err)
	b.note("client connects to %s from %s", h.name, conn.LocalAddr())
	return &keptClient{bed: b, host: h, conn: conn, reader: bufio.NewReader(conn)}
}

// get sends a request whose header has about the given length. It returns 0 if there is
// no answer.
func (c *keptClient) get(length int) int {
	id := c.bed.newID("q")
	c.bed.note("client %s sends %s, GET with %d bytes of header, to %s", c.conn.LocalAddr(), id, length, c.host.name)
	_ = c.conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, err := fmt.Fprintf(c.conn, "GET /read/account/%s HTTP/1.1\r\nHost: api.example\r\nFlamingodoor-Request-Id: %s\r\nFlamingodoor-Deadline-Ms: 1500\r\nAuthorization: Bearer key-of-tenant-1\r\nX-Trace: %s\r\n\r\n", id, id, strings.Repeat("x", length))
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.reader, nil)
	}
	if err != nil {
		c.bed.note("client gets no answer for %s: %v", id, err)
		_ = c.conn.Close()
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	c.closed = response.Close
	if c.closed {
		_ = c.conn.Close()
	}
	c.bed.note("client gets for %s: status %d, close %v", id, response.StatusCode, response.Close)
	return response.StatusCode
}
