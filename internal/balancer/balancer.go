// Package balancer forwards packets between callers and agents.
package balancer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/internal/wire"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

const (
	// socketBuffer is the receive buffer size in bytes to request; the kernel may grant less.
	socketBuffer = 4 << 20
	// readRetryDelay is the delay after a failed read; without it, a persistent fault would use a whole core.
	readRetryDelay = 10 * time.Millisecond
)

// Config holds the settings and dependencies of a balancer.
type Config struct {
	ID, Zone string
	// BindIP replaces the IP of the contracts' addresses if it is valid.
	BindIP netip.Addr
	// DataAddress receives return datagrams (UDP); port 0 is allowed.
	DataAddress netip.AddrPort
	// Advertised is the address at which other processes reach DataAddress; the zero value means the bound address.
	Advertised netip.AddrPort
	SharedKey  []byte
	// Incarnation is the start time in nanoseconds.
	Incarnation uint64
	Board       *board.Board
	Logger      hclog.Logger
	Registerer  prometheus.Registerer
}

// Balancer forwards packets of callers to agents and answers of agents to callers.
type Balancer struct {
	cfg     Config
	log     hclog.Logger
	sealer  *wire.Sealer
	steerer *flow.Steerer
	metrics *metrics
	data    *net.UDPConn
	batch   *batchConn
	address netip.AddrPort

	zones        board.ZoneOutTimes
	zoneRevision atomic.Uint64
	services     atomic.Pointer[table]
	rebuilds     rebuildQueue
	members      *members
	revisionGaps revisionGaps
	stopping     atomic.Bool

	// mu is held while the table is rebuilt; it guards sockets and loggedFaults.
	mu      sync.Mutex
	sockets map[netip.AddrPort]*socket
	// loggedFaults holds the last fault logged for an address, so that a persistent fault is logged once.
	loggedFaults map[netip.AddrPort]string
}

// New returns a balancer with a bound data socket; Run binds the service addresses.
func New(cfg Config) (*Balancer, error) {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	sealer, err := wire.NewSealer(cfg.SharedKey, wire.PurposeData, cfg.Incarnation)
	if err != nil {
		return nil, errors.Annotate(err, "cannot create the balancer's datagram sealer")
	}
	m, err := newMetrics(cfg.Registerer)
	if err != nil {
		return nil, errors.Annotate(err, "cannot register the balancer's metrics")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.DataAddress))
	if err != nil {
		return nil, errors.Annotate(err, "cannot bind the balancer's data address")
	}
	b := &Balancer{
		cfg:          cfg,
		log:          cfg.Logger,
		sealer:       sealer,
		steerer:      flow.NewSteerer(flow.NewCache(flow.DefaultCacheEntries)),
		metrics:      m,
		data:         conn,
		batch:        newBatchConn(conn),
		address:      localAddress(conn),
		members:      newMembers(),
		rebuilds:     rebuildQueue{wake: make(chan struct{}, 1)},
		sockets:      make(map[netip.AddrPort]*socket),
		loggedFaults: make(map[netip.AddrPort]string),
	}
	if cfg.Advertised.IsValid() {
		b.address = cfg.Advertised
	}
	b.services.Store(&table{})
	sealer.SetSenderFilter(b.members.admit)
	b.growBuffer(conn)
	cfg.Board.OnChange(b.onChange)
	return b, nil
}

// DataAddress returns the address at which other processes reach the data socket.
func (b *Balancer) DataAddress() netip.AddrPort { return b.address }

// Run forwards packets until the context ends, including packets that were already read by then.
func (b *Balancer) Run(ctx context.Context) error {
	// The readers of the service sockets end first, then those of the data socket; only then are sockets closed.
	returns, err := rungroup.New(context.WithoutCancel(ctx))
	if err != nil {
		return errors.Trace(err)
	}
	callers, err := rungroup.New(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	returns.Go(b.serveReturns)
	callers.Go(func(ctx context.Context) error { return b.watchBoard(ctx, callers) })
	err = callers.Wait()
	b.stopping.Store(true)
	interrupt(b.data)
	if returnErr := returns.Wait(); err == nil {
		err = returnErr
	}
	b.closeSockets()
	return errors.Trace(err)
}

func (b *Balancer) closeSockets() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.services.Store(&table{})
	for _, s := range b.sockets {
		_ = s.conn.Close()
	}
	clear(b.sockets)
	_ = b.data.Close()
}

func (b *Balancer) growBuffer(conn *net.UDPConn) {
	if err := conn.SetReadBuffer(socketBuffer); err != nil {
		b.log.Debug("cannot set the receive buffer size", "error", err)
	}
}

func localAddress(conn *net.UDPConn) netip.AddrPort {
	a, ok := conn.LocalAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	ap := a.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

// interrupt makes the readers of a socket return; writes still succeed.
func interrupt(conn *net.UDPConn) {
	// An error means that the socket is closed, so its readers have returned.
	_ = conn.SetReadDeadline(time.Unix(1, 0))
}
