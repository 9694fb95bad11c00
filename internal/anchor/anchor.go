//go:build anchor

// Package anchor keeps the declared libraries in go.mod until their first use.
package anchor

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/dgryski/go-rendezvous"
	_ "github.com/go-kit/log"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/uuid"
	_ "github.com/gorilla/mux"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "go.opentelemetry.io/otel/exporters/prometheus"
	_ "go.opentelemetry.io/otel/metric"
	_ "go.opentelemetry.io/otel/sdk/metric"
	_ "golang.org/x/net/netutil"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
