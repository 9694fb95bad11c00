package harness

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/faultproxy"
)

// OperatorToken is the bearer token that the entry hosts of a deployment require
// from operators.
const OperatorToken = "harness-operator-token"

const listenAnyPort = "--listen=127.0.0.1:0"

// loopback is the address of all listeners except the peer listeners, which have
// an address for each entry host.
var loopback = netip.MustParseAddr("127.0.0.1")

// Deployment is a set of running processes and the proxies between them.
type Deployment struct {
	ProgramDirectory string // directory of the built programs
	Log              io.Writer

	Platform      *Process
	PlatformProxy *faultproxy.Proxy // for requests of the test itself
	Entries       []*Entry
	Endpoints     []*Endpoint

	mutex           sync.Mutex
	processes       []*Process
	proxies         []*faultproxy.Proxy
	platformAddress netip.AddrPort
	entriesStarted  byte // entry hosts started so far
}

// Entry is an entry host. Its connections to the platform pass through
// PlatformProxy, and its peers' connections to it pass through PeerProxy.
type Entry struct {
	*Process
	DataCentre      string
	SourceAddress   netip.Addr // local address of its connections to its peers
	CallerAddress   netip.AddrPort
	OperatorAddress netip.AddrPort
	MetricsAddress  netip.AddrPort

	PlatformProxy *faultproxy.Proxy
	PeerProxy     *faultproxy.Proxy
}

// Endpoint is the stand-in of a model engine or of a plain service, with the
// proxy through which entry hosts reach it.
type Endpoint struct {
	*Process
	DataCentre    string
	FabricDomain  string
	Service       string // empty for engines
	ChecksFencing bool
	DirectAddress netip.AddrPort // its own listener
	Proxy         *faultproxy.Proxy
}

// StartPlatform starts the platform stand-in.
func (d *Deployment) StartPlatform(ctx context.Context, arguments ...string) error {
	process, err := d.startProcess(ctx, "platform", "standin-platform", append([]string{listenAnyPort}, arguments...)...)
	if err != nil {
		return err
	}
	d.Platform = process
	d.platformAddress, err = process.Address("")
	return err
}

// PlatformAddress returns the address of the platform stand-in.
func (d *Deployment) PlatformAddress() netip.AddrPort {
	return d.platformAddress
}

// StartEntry starts an entry host and its two proxies.
func (d *Deployment) StartEntry(ctx context.Context, name, dataCentre string, arguments ...string) (*Entry, error) {
	d.mutex.Lock()
	d.entriesStarted++
	source := netip.AddrFrom4([4]byte{127, 0, 1, d.entriesStarted})
	d.mutex.Unlock()

	platformProxy, err := d.startProxy(ctx, loopback, d.platformAddress)
	if err != nil {
		return nil, err
	}
	// The entry host advertises the address of the peer proxy. The proxy
	// therefore starts first and gets its target afterwards.
	peerProxy, err := d.startProxy(ctx, loopback, netip.AddrPort{})
	if err != nil {
		return nil, err
	}
	process, err := d.startProcess(ctx, name, "flamingodoord", append([]string{
		"--host-id=" + name,
		"--data-centre=" + dataCentre,
		listenAnyPort,
		"--operator-listen=127.0.0.1:0",
		"--metrics-listen=127.0.0.1:0",
		"--peer-listen=" + netip.AddrPortFrom(source, 0).String(),
		"--peer-advertise=" + peerProxy.Address().String(),
		"--platform=" + platformProxy.Address().String(),
		"--operator-token=" + OperatorToken,
	}, arguments...)...)
	if err != nil {
		return nil, err
	}
	entry := &Entry{Process: process, DataCentre: dataCentre, SourceAddress: source, PlatformProxy: platformProxy, PeerProxy: peerProxy}
	if err := entry.readAddresses(); err != nil {
		return nil, err
	}
	d.mutex.Lock()
	d.Entries = append(d.Entries, entry)
	d.mutex.Unlock()
	return entry, nil
}

func (e *Entry) readAddresses() error {
	peer, err := e.Address("peer")
	if err != nil {
		return err
	}
	e.PeerProxy.SetTarget(peer)
	for role, address := range map[string]*netip.AddrPort{"caller": &e.CallerAddress, "operator": &e.OperatorAddress, "metrics": &e.MetricsAddress} {
		if *address, err = e.Address(role); err != nil {
			return err
		}
	}
	return nil
}

// StartEngine starts the stand-in of a model engine and its proxy.
func (d *Deployment) StartEngine(ctx context.Context, name, dataCentre, fabricDomain string, arguments ...string) (*Endpoint, error) {
	return d.startEndpoint(ctx, &Endpoint{
		DataCentre: dataCentre, FabricDomain: fabricDomain, ChecksFencing: slices.Contains(arguments, "--checks-fencing"),
	}, name, arguments)
}

// StartService starts the stand-in of a plain service and its proxy.
func (d *Deployment) StartService(ctx context.Context, name, dataCentre, service string, arguments ...string) (*Endpoint, error) {
	return d.startEndpoint(ctx, &Endpoint{DataCentre: dataCentre, Service: service}, name, append(arguments, "--service"))
}

func (d *Deployment) startEndpoint(ctx context.Context, endpoint *Endpoint, name string, arguments []string) (*Endpoint, error) {
	process, err := d.startProcess(ctx, name, "standin-endpoint", append([]string{listenAnyPort}, arguments...)...)
	if err != nil {
		return nil, err
	}
	endpoint.Process = process
	if endpoint.DirectAddress, err = process.Address(""); err != nil {
		return nil, err
	}
	if endpoint.Proxy, err = d.startProxy(ctx, loopback, endpoint.DirectAddress); err != nil {
		return nil, err
	}
	d.mutex.Lock()
	d.Endpoints = append(d.Endpoints, endpoint)
	d.mutex.Unlock()
	return endpoint, nil
}

// Close kills every process of the deployment and closes its proxies.
func (d *Deployment) Close() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, process := range d.processes {
		process.Kill()
	}
	for _, proxy := range d.proxies {
		proxy.Close()
	}
}

func (d *Deployment) startProcess(ctx context.Context, name, program string, arguments ...string) (*Process, error) {
	output := &prefixWriter{prefix: fmt.Sprintf("%-10s ", name), target: d.Log}
	process, err := Start(ctx, name, filepath.Join(d.ProgramDirectory, program), output, arguments...)
	if err != nil {
		return nil, err
	}
	d.mutex.Lock()
	d.processes = append(d.processes, process)
	d.mutex.Unlock()
	return process, nil
}

func (d *Deployment) startProxy(ctx context.Context, listen netip.Addr, target netip.AddrPort) (*faultproxy.Proxy, error) {
	proxy, err := faultproxy.New(ctx, listen, target)
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateNotRun, err)
	}
	d.mutex.Lock()
	d.proxies = append(d.proxies, proxy)
	d.mutex.Unlock()
	return proxy, nil
}
