// Package peer is the RPC between entry hosts: server, clients, the exchange of
// digests and freshness grants, and the acknowledgement of changes.
package peer

import (
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

// DirectoryOption changes a Directory at its construction.
type DirectoryOption func(*Directory)

// WithClientOptions adds options of connect to every client.
func WithClientOptions(options ...connect.ClientOption) DirectoryOption {
	return func(d *Directory) { d.options = append(d.options, options...) }
}

type remote struct {
	client    peerv1connect.PeerServiceClient
	transport *http.Transport
}

// Directory keeps one client, with its own connection, for each peer address.
type Directory struct {
	options []connect.ClientOption

	mu      sync.Mutex
	remotes map[netip.AddrPort]remote
}

var _ flamingodoor.PeerDirectory = (*Directory)(nil)

// NewDirectory returns an empty directory.
func NewDirectory(options ...DirectoryOption) *Directory {
	d := &Directory{
		options: []connect.ClientOption{connect.WithReadMaxBytes(maxMessageBytes)},
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
		transport := newTransport()
		known = remote{
			client: peerv1connect.NewPeerServiceClient(
				&http.Client{Transport: transport}, "http://"+host.PeerAddress.String(), d.options...),
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

func newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}).DialContext,
		IdleConnTimeout: idleTimeout,
		Protocols:       protocols,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  sendPingTimeout,
			PingTimeout:      pingTimeout,
			WriteByteTimeout: writeByteTimeout,
		},
	}
}
