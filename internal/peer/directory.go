// Package peer is the RPC between entry hosts: server, clients, the exchange of
// digests and freshness grants, and the acknowledgement of changes.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1/peerv1connect"
)

const (
	dialTimeout = 1 * time.Second
	// A connection that stops carrying data is closed after the sum of these
	// two, within the 3 s of a freshness lease.
	sendPingTimeout  = 1 * time.Second
	pingTimeout      = 1500 * time.Millisecond
	writeByteTimeout = 2 * time.Second
	idleTimeout      = 90 * time.Second
	maxMessageBytes  = 64 << 20 // snapshots are the largest messages
)

// compressMinBytes is the size from which messages between hosts are
// compressed. Snapshots exceed it. Compression of the small answers of
// Exchange costs more processor time and memory than it saves in traffic.
const compressMinBytes = 16 << 10

// DirectoryOption changes a Directory at its construction.
type DirectoryOption func(*Directory)

// WithClientOptions adds options of connect to every client.
func WithClientOptions(options ...connect.ClientOption) DirectoryOption {
	return func(d *Directory) { d.options = append(d.options, options...) }
}

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) DirectoryOption {
	return func(d *Directory) { d.dial = dial }
}

// WithTLS encrypts the connections; nil leaves them in clear.
func WithTLS(config *tls.Config) DirectoryOption {
	return func(d *Directory) { d.tls = config }
}

type remote struct {
	client    peerv1connect.PeerServiceClient
	transport *http.Transport
}

// Directory keeps one client, with its own connection, for each peer address.
type Directory struct {
	options []connect.ClientOption
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	tls     *tls.Config

	mu      sync.Mutex
	remotes map[netip.AddrPort]remote
}

var _ flamingodoor.PeerDirectory = (*Directory)(nil)

// NewDirectory returns an empty directory.
func NewDirectory(options ...DirectoryOption) *Directory {
	d := &Directory{
		options: []connect.ClientOption{
			connect.WithReadMaxBytes(maxMessageBytes),
			connect.WithCompressMinBytes(compressMinBytes),
		},
		dial:    (&net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}).DialContext,
		remotes: make(map[netip.AddrPort]remote),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Peer returns the client of the host's peer address.
func (d *Directory) Peer(host flamingodoor.EntryHost) peerv1connect.PeerServiceClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.remotes[host.PeerAddress]
	if !ok {
		transport := d.newTransport()
		known = remote{
			client: peerv1connect.NewPeerServiceClient(
				&http.Client{Transport: transport}, d.scheme()+host.PeerAddress.String(), d.options...),
			transport: transport,
		}
		d.remotes[host.PeerAddress] = known
	}
	return known.client
}

// Retain drops the clients of all addresses but those of the given hosts.
// Calls in flight end on their own.
func (d *Directory) Retain(hosts []flamingodoor.EntryHost) {
	keep := make(map[netip.AddrPort]bool, len(hosts))
	for _, host := range hosts {
		keep[host.PeerAddress] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, known := range d.remotes {
		if !keep[address] {
			known.transport.CloseIdleConnections()
			delete(d.remotes, address)
		}
	}
}

// Close drops all clients.
func (d *Directory) Close() {
	d.Retain(nil)
}

func (d *Directory) scheme() string {
	if d.tls != nil {
		return "https://"
	}
	return "http://"
}

func (d *Directory) newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(d.tls == nil)
	protocols.SetHTTP2(d.tls != nil)
	return &http.Transport{
		DialContext:     d.dial,
		TLSClientConfig: d.tls,
		IdleConnTimeout: idleTimeout,
		Protocols:       protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  sendPingTimeout,
			PingTimeout:      pingTimeout,
			WriteByteTimeout: writeByteTimeout,
		},
	}
}
