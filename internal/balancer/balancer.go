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
	// socketBuffer is the asked size of a receive buffer in bytes; the kernel may grant less.
	socketBuffer = 4 << 20
	// readRetry is the pause after a failed read; it keeps a lasting fault from taking a whole core.
	readRetry = 10 * time.Millisecond
)

// Config describes a balancer.
type Config struct {
	ID, Zone string
	// BindIP replaces the IP of the contracts' addresses when it is valid.
	BindIP netip.Addr
	// DataAddress receives return datagrams (UDP); port 0 is allowed.
	DataAddress netip.AddrPort
	// Advertised is where others reach DataAddress; the zero value means the bound address.
	Advertised netip.AddrPort
	SharedKey  []byte
	// Incarnation is the start time in nanoseconds.
	Incarnation uint64
	Board       *board.Board
	Logger      hclog.Logger
	Registerer  prometheus.Registerer
}

// Balancer forwards the packets of callers to agents and the answers back to callers.
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
	pending      pending
	members      *members
	gaps         gaps
	stopping     atomic.Bool

	// mu is held while the table is rebuilt.
	mu      sync.Mutex
	sockets map[netip.AddrPort]*socket
	// faults holds what was logged of an address, so that a lasting fault is logged once.
	faults map[netip.AddrPort]string
}

// New binds the data socket; service addresses are bound by Run.
func New(cfg Config) (*Balancer, error) {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	sealer, err := wire.NewSealer(cfg.SharedKey, wire.PurposeData, cfg.Incarnation)
	if err != nil {
		return nil, errors.Annotate(err, "balancer")
	}
	m, err := newMetrics(cfg.Registerer)
	if err != nil {
		return nil, errors.Annotate(err, "balancer metrics")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.DataAddress))
	if err != nil {
		return nil, errors.Annotate(err, "data socket of the balancer")
	}
	b := &Balancer{
		cfg:     cfg,
		log:     cfg.Logger,
		sealer:  sealer,
		steerer: flow.NewSteerer(flow.NewCache(flow.DefaultCacheEntries)),
		metrics: m,
		data:    conn,
		batch:   newBatchConn(conn),
		address: localAddress(conn),
		members: newMembers(),
		pending: pending{wake: make(chan struct{}, 1)},
		sockets: make(map[netip.AddrPort]*socket),
		faults:  make(map[netip.AddrPort]string),
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

// DataAddress returns the address at which others reach the data socket.
func (b *Balancer) DataAddress() netip.AddrPort { return b.address }

// Run forwards packets until the context ends; packets that were already read are still forwarded.
func (b *Balancer) Run(ctx context.Context) error {
	// The data socket outlives the service sockets, and both groups end before any socket is closed.
	back, err := rungroup.New(context.WithoutCancel(ctx))
	if err != nil {
		return errors.Trace(err)
	}
	front, err := rungroup.New(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	back.Go(b.serveReturns)
	front.Go(func(ctx context.Context) error { return b.follow(ctx, front) })
	err = front.Wait()
	b.stopping.Store(true)
	interrupt(b.data)
	if backErr := back.Wait(); err == nil {
		err = backErr
	}
	b.closeAll()
	return errors.Trace(err)
}

func (b *Balancer) closeAll() {
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
		b.log.Debug("cannot enlarge the receive buffer", "error", err)
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

// interrupt makes the readers of a socket return while writes still work.
func interrupt(conn *net.UDPConn) {
	// The error of a closed socket needs no handling: its readers have returned.
	_ = conn.SetReadDeadline(time.Unix(1, 0))
}
