package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Link is the part of the network link of a machine that its callers use.
type Link struct {
	mu     sync.Mutex
	freeAt time.Time
}

// linkBytesPerSecond is half of 1,000 Mbit/s, so that no packets wait at the link.
const linkBytesPerSecond = 1000e6 / 8 / 2

// take waits until the link has carried the bytes.
func (l *Link) take(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / linkBytesPerSecond * 1e9))
	wait := l.freeAt.Sub(now)
	l.mu.Unlock()
	if wait > time.Millisecond {
		time.Sleep(wait)
	}
}

// Client is a caller that keeps its connection.
type Client struct {
	Target      string
	Link        *Link
	EndsSending bool // close the sending side after a request; the answer is still read
	EndsAfter   time.Duration

	connection net.Conn
	reader     *bufio.Reader
	carried    int // requests that the connection has carried
}

// Result is how an attempt ended.
type Result struct {
	ID     string
	Status int // 0 if the connection ended without an answer
	Kept   bool
	Header http.Header
	Body   []byte
	Err    error
}

func newID() string {
	data := make([]byte, 8)
	_, _ = rand.Read(data)
	return hex.EncodeToString(data)
}

func (c *Client) connect() error {
	if c.connection != nil {
		return nil
	}
	connection, err := net.DialTimeout("tcp", c.Target, time.Second)
	if err != nil {
		return err
	}
	c.connection, c.reader, c.carried = connection, bufio.NewReader(connection), 0
	return nil
}

func (c *Client) drop() {
	if c.connection != nil {
		_ = c.connection.Close()
		c.connection = nil
	}
}

// Do sends one attempt and awaits its answer until the deadline.
func (c *Client) Do(method, host, path, key string, body []byte, deadline time.Duration, headers string) Result {
	result := Result{ID: newID()}
	if err := c.connect(); err != nil {
		result.Err = err
		return result
	}
	result.Kept = c.carried > 0
	c.carried++
	_ = c.connection.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nFlamingodoor-Request-Id: %s\r\nFlamingodoor-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s",
		method, path, host, result.ID, deadline.Milliseconds(), key, headers)
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.connection, head+"\r\n"); err != nil {
		result.Err = err
		c.drop()
		return result
	}
	const piece = 64 << 10
	for rest := body; len(rest) > 0; {
		n := min(piece, len(rest))
		if c.Link != nil {
			c.Link.take(n)
		}
		if _, err := c.connection.Write(rest[:n]); err != nil {
			result.Err = err
			break // an answer may have come
		}
		rest = rest[n:]
	}
	if c.EndsSending {
		connection := c.connection.(*net.TCPConn)
		time.AfterFunc(c.EndsAfter, func() { _ = connection.CloseWrite() })
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		result.Err = errors.Join(result.Err, err)
		c.drop()
		return result
	}
	result.Status, result.Header = response.StatusCode, response.Header
	result.Body, result.Err = io.ReadAll(response.Body)
	if result.Err != nil || response.Close {
		c.drop()
	}
	return result
}
