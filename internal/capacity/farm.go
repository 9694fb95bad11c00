package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"flamingodoor.example/flamingodoor/internal/harness"
	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

const readHeaderTimeout = 10 * time.Second

// farm runs many stand-in engines in this process, so that the number of engines
// is not limited by the number of processes.
type farm struct {
	endpoints []harness.ManifestEndpoint
	received  atomic.Int64 // bytes
	sent      atomic.Int64 // bytes
}

// newFarm starts the engines and assigns them to fabric domains of the given
// number of engines.
func newFarm(ctx context.Context, engines, domainSize int) (*farm, error) {
	f := &farm{}
	for index := range engines {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		server := &http.Server{
			Handler: standinendpoint.New(
				standinendpoint.WithFencing(),
				standinendpoint.WithTokenTimes(20*time.Millisecond, 20*time.Millisecond)).Handler(),
			ReadHeaderTimeout: readHeaderTimeout,
		}
		go func() { _ = server.Serve(&countedListener{Listener: listener, farm: f}) }()
		name := "engine-" + strconv.Itoa(index)
		domain := index / domainSize
		f.endpoints = append(f.endpoints, harness.ManifestEndpoint{
			EndpointID:    name,
			HostID:        name,
			DataCentre:    harness.DataCentreIDs[domain%len(harness.DataCentreIDs)],
			FabricDomain:  fmt.Sprintf("domain-%d", domain),
			Address:       listener.Addr().String(),
			Kind:          "engine",
			ChecksFencing: true,
			Accelerators:  1,
			ColdAllowance: 2,
			WarmCapacity:  64,
		})
	}
	return f, nil
}

// bytes returns the bytes that the engines have received and sent.
func (f *farm) bytes() int64 {
	return f.received.Load() + f.sent.Load()
}

// countedListener adds the bytes of its connections to the counts of the farm.
type countedListener struct {
	net.Listener
	farm *farm
}

// Accept returns the next connection, which counts its bytes.
func (l *countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: connection, farm: l.farm}, nil
}

type countedConn struct {
	net.Conn
	farm *farm
}

// Read counts received bytes.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.farm.received.Add(int64(n))
	return n, err
}

// Write counts sent bytes.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.farm.sent.Add(int64(n))
	return n, err
}
