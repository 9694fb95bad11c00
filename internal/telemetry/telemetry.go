// Package telemetry records metrics with OpenTelemetry and serves them in the
// Prometheus format.
package telemetry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"flamingodoor.example/flamingodoor"
)

// scope is the name of the instrumentation scope.
const scope = "flamingodoor.example/flamingodoor"

// Metrics holds the instruments of one process.
type Metrics struct {
	handler http.Handler
	meter   metric.Meter

	requests   metric.Int64Counter
	firstToken metric.Float64Histogram
	tokenGap   metric.Float64Histogram
	storeCalls metric.Float64Histogram
	traffic    map[string]*byteCounts // by kind of connection
}

// byteCounts counts the bytes of one kind of connection.
type byteCounts struct {
	sent     atomic.Int64
	received atomic.Int64
}

// New creates the instruments and the handler that serves them.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateNotRun, err)
	}
	metrics := &Metrics{
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		meter:   sdk.NewMeterProvider(sdk.WithReader(reader)).Meter(scope),
		traffic: make(map[string]*byteCounts),
	}
	return metrics, metrics.createInstruments()
}

func (m *Metrics) createInstruments() error {
	var err error
	if m.requests, err = m.meter.Int64Counter("flamingodoor.requests",
		metric.WithDescription("Finished requests by club and result")); err != nil {
		return instrumentError(err)
	}
	if m.firstToken, err = m.meter.Float64Histogram("flamingodoor.first_token", metric.WithUnit("s"),
		metric.WithDescription("Time to the first token"),
		metric.WithExplicitBucketBoundaries(.01, .025, .05, .1, .25, .5, 1, 2, 5, 10)); err != nil {
		return instrumentError(err)
	}
	if m.storeCalls, err = m.meter.Float64Histogram("flamingodoor.store.call", metric.WithUnit("s"),
		metric.WithDescription("Calls to the platform's store by call and result; reads may wait for news"),
		metric.WithExplicitBucketBoundaries(.005, .01, .025, .05, .1, .25, .5, 1, 2, 4)); err != nil {
		return instrumentError(err)
	}
	m.tokenGap, err = m.meter.Float64Histogram("flamingodoor.token_gap", metric.WithUnit("s"),
		metric.WithDescription("Longest time between two tokens of a request"),
		metric.WithExplicitBucketBoundaries(.005, .01, .025, .05, .1, .25, .5, 1, 2))
	return instrumentError(err)
}

// instrumentError returns the error with CodeInternal, or nil.
func instrumentError(err error) error {
	if err == nil {
		return nil
	}
	return flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateNotRun, err)
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

// RequestFinished counts a finished request of a club. The result is "ok" or an
// error code.
func (m *Metrics) RequestFinished(club, result string) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("club", club), attribute.String("result", result)))
}

// FirstToken records the time to the first token of a request.
func (m *Metrics) FirstToken(club string, elapsed time.Duration) {
	m.firstToken.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(attribute.String("club", club)))
}

// TokenGap records the longest time between two tokens of a request.
func (m *Metrics) TokenGap(club string, longest time.Duration) {
	m.tokenGap.Record(context.Background(), longest.Seconds(), metric.WithAttributes(attribute.String("club", club)))
}

// StoreCalled records the duration of a call to the platform's store. The result
// is "ok" or an error code.
func (m *Metrics) StoreCalled(call, result string, elapsed time.Duration) {
	m.storeCalls.Record(context.Background(), elapsed.Seconds(), metric.WithAttributes(
		attribute.String("call", call), attribute.String("result", result)))
}

// Gauge registers a gauge whose value is read at each scrape.
func (m *Metrics) Gauge(name, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(read())
			return nil
		}))
	return instrumentError(err)
}

// ModelGauge registers a gauge with one value for each model of a service, which are read
// at each scrape.
func (m *Metrics) ModelGauge(name, description string, read func(observe func(service, model string, value int64))) error {
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			read(func(service, model string, value int64) {
				observer.Observe(value, metric.WithAttributes(attribute.String("service", service), attribute.String("model", model)))
			})
			return nil
		}))
	return instrumentError(err)
}

// Counter registers a counter whose value is read at each scrape.
func (m *Metrics) Counter(name, description string, read func() int64) error {
	_, err := m.meter.Int64ObservableCounter(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(read())
			return nil
		}))
	return instrumentError(err)
}

// CountTraffic registers a counter of the bytes on connections of a kind. It must
// be called before WrapConn or WrapListener with that kind.
func (m *Metrics) CountTraffic(kind string) error {
	counts := &byteCounts{}
	m.traffic[kind] = counts
	_, err := m.meter.Int64ObservableCounter("flamingodoor."+kind+".bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes sent and received on "+kind+" connections"),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(counts.sent.Load(), metric.WithAttributes(attribute.String("direction", "sent")))
			observer.Observe(counts.received.Load(), metric.WithAttributes(attribute.String("direction", "received")))
			return nil
		}))
	return instrumentError(err)
}

// WrapConn returns a connection that counts its bytes under the kind.
func (m *Metrics) WrapConn(kind string, connection net.Conn) net.Conn {
	return &countedConn{Conn: connection, counts: m.traffic[kind]}
}

// WrapListener returns a listener whose accepted connections count their bytes
// under the kind.
func (m *Metrics) WrapListener(kind string, listener net.Listener) net.Listener {
	return &countedListener{Listener: listener, metrics: m, kind: kind}
}

// countedConn is a connection that counts its bytes.
type countedConn struct {
	net.Conn
	counts *byteCounts
}

// Read reads from the connection and counts the received bytes.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counts.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the sent bytes.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counts.sent.Add(int64(n))
	return n, err
}

// countedListener wraps each accepted connection in a countedConn.
type countedListener struct {
	net.Listener
	metrics *Metrics
	kind    string
}

// Accept waits for the next connection and wraps it.
func (l *countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.metrics.WrapConn(l.kind, connection), nil
}
