// Package peer implements the RPC between entry hosts: server, clients, the
// periodic exchange of health digests and freshness grants, and the
// acknowledgement of configuration changes.
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
	// A connection that stops carrying data is closed after sendPingTimeout +
	// pingTimeout, which is within the 3 s of a freshness lease.
	sendPingTimeout  = 1 * time.Second
	pingTimeout      = 1500 * time.Millisecond
	writeByteTimeout = 2 * time.Second
	idleTimeout      = 90 * time.Second
	maxMessageBytes  = 64 << 20 // snapshots are the largest messages
)

// compressMinBytes is the size from which messages between hosts are
// compressed. Snapshots exceed it. Compressing the small responses of Exchange
// would cost more CPU time and memory than the saved traffic is worth.
const compressMinBytes = 16 << 10

// DirectoryOption changes a default of a Directory.
type DirectoryOption func(*Directory)

// WithClientOptions adds connect options to every client.
func WithClientOptions(options ...connect.ClientOption) DirectoryOption {
	return func(d *Directory) { d.options = append(d.options, options...) }
}

// WithDial sets the function that opens connections. The default is a
// net.Dialer with a timeout of 1 s.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) DirectoryOption {
	return func(d *Directory) { d.dial = dial }
}

// WithTLS encrypts the connections. With a nil configuration they are not
// encrypted.
func WithTLS(config *tls.Config) DirectoryOption {
	return func(d *Directory) { d.tls = config }
}

// peerClient is the client of one peer address with its transport.
type peerClient struct {
	client    peerv1connect.PeerServiceClient
	transport *http.Transport
}

// Directory keeps one client, with its own connection, for each peer address.
type Directory struct {
	options []connect.ClientOption
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	tls     *tls.Config

	mu      sync.Mutex
	clients map[netip.AddrPort]peerClient
}

var _ flamingodoor.PeerDirectory = (*Directory)(nil)

// NewDirectory returns a Directory without clients. They are created on demand.
func NewDirectory(options ...DirectoryOption) *Directory {
	d := &Directory{
		options: []connect.ClientOption{
			connect.WithReadMaxBytes(maxMessageBytes),
			connect.WithCompressMinBytes(compressMinBytes),
		},
		dial:    (&net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}).DialContext,
		clients: make(map[netip.AddrPort]peerClient),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Peer returns the client of the host's peer address and creates it if
// necessary.
func (d *Directory) Peer(host flamingodoor.EntryHost) peerv1connect.PeerServiceClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer, ok := d.clients[host.PeerAddress]
	if !ok {
		transport := d.newTransport()
		peer = peerClient{
			client: peerv1connect.NewPeerServiceClient(
				&http.Client{Transport: transport}, d.scheme()+host.PeerAddress.String(), d.options...),
			transport: transport,
		}
		d.clients[host.PeerAddress] = peer
	}
	return peer.client
}

// Retain drops the clients of all addresses except those of the given hosts.
// Calls in flight are not cancelled.
func (d *Directory) Retain(hosts []flamingodoor.EntryHost) {
	keep := make(map[netip.AddrPort]bool, len(hosts))
	for _, host := range hosts {
		keep[host.PeerAddress] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, peer := range d.clients {
		if !keep[address] {
			peer.transport.CloseIdleConnections()
			delete(d.clients, address)
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
