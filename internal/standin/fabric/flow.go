package fabric

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// flowKey identifies a flow by the addresses of the caller and the service.
type flowKey struct {
	caller  netip.AddrPort
	service netip.AddrPort
}

// flow holds the socket from which the packets of one caller to one service are sent to all balancers.
type flow struct {
	key      flowKey
	conn     *net.UDPConn
	listener *net.UDPConn
	lastUsed atomic.Int64
}

// receive forwards the packets that callers send to one service address.
func (f *Fabric) receive(l *net.UDPConn) error {
	service := localAddr(l)
	buf := make([]byte, maxPacketBytes)
	for {
		n, from, err := l.ReadFromUDPAddrPort(buf)
		if err != nil {
			return ignoreErrClosed(err)
		}
		fl, err := f.flowFor(flowKey{caller: unmap(from), service: service}, l)
		if err != nil {
			f.cfg.Logger.Warn("cannot open a socket for the flow of a caller", "caller", from, "error", err)
			continue
		}
		f.forward(fl, buf[:n])
	}
}

func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

func ignoreErrClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Trace(err)
}

// flowFor returns the flow of a key and opens its socket if there is none yet.
func (f *Fabric) flowFor(k flowKey, l *net.UDPConn) (*flow, error) {
	f.flowMu.Lock()
	defer f.flowMu.Unlock()
	if fl, ok := f.flows[k]; ok {
		fl.lastUsed.Store(time.Now().UnixNano())
		return fl, nil
	}
	if f.closed {
		return nil, errors.Trace(net.ErrClosed)
	}
	conn, err := listen(netip.AddrPortFrom(k.service.Addr(), 0))
	if err != nil {
		return nil, err
	}
	fl := &flow{key: k, conn: conn, listener: l}
	fl.lastUsed.Store(time.Now().UnixNano())
	f.flows[k] = fl
	f.group.Go(func(context.Context) error { return f.receiveAnswers(fl) })
	return fl, nil
}

// forward sends a caller's packet to a random ready balancer.
func (f *Fabric) forward(fl *flow, packet []byte) {
	t := f.randomReadyTarget()
	if t == nil {
		f.unsent.Add(1)
		return
	}
	t.sent.Add(1)
	to := netip.AddrPortFrom(t.IP, fl.key.service.Port())
	f.transmit(f.link(CallerZone, t.Zone), packet, func(p []byte) {
		// A packet that cannot be written counts as lost.
		_, _ = fl.conn.WriteToUDPAddrPort(p, to)
	})
}

// receiveAnswers forwards the packets of balancers to the caller, with the service address as their source.
func (f *Fabric) receiveAnswers(fl *flow) error {
	buf := make([]byte, maxPacketBytes)
	for {
		n, from, err := fl.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return ignoreErrClosed(err)
		}
		t := f.targetByIP(from.Addr().Unmap())
		if t == nil {
			continue
		}
		t.returned.Add(1)
		fl.lastUsed.Store(time.Now().UnixNano())
		f.transmit(f.link(t.Zone, CallerZone), buf[:n], func(p []byte) {
			// A packet that cannot be written counts as lost.
			_, _ = fl.listener.WriteToUDPAddrPort(p, fl.key.caller)
		})
	}
}

// sweepIdleFlows closes idle flows every sweepInterval.
func (f *Fabric) sweepIdleFlows(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			f.closeIdleFlows(now)
		}
	}
}

func (f *Fabric) closeIdleFlows(now time.Time) {
	f.flowMu.Lock()
	defer f.flowMu.Unlock()
	for k, fl := range f.flows {
		if now.Sub(time.Unix(0, fl.lastUsed.Load())) > flowIdleTimeout {
			_ = fl.conn.Close()
			delete(f.flows, k)
		}
	}
}
