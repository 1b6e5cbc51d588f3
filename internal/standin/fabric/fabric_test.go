package fabric_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/bramleymast/bramleymast/internal/standin/fabric"
)

// echo starts a balancer that answers each packet with the balancer's name and the packet's source address.
func echo(t *testing.T, name string, at netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	go func() {
		buf := make([]byte, 2048)
		for {
			_, from, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			_, _ = conn.WriteToUDPAddrPort([]byte(name+" "+from.String()), from)
		}
	}()
}

func start(t *testing.T) *fabric.Fabric {
	t.Helper()
	f, err := fabric.New(fabric.Config{Addresses: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:0")}, Seed: 1})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return f
}

func dial(t *testing.T, f *fabric.Fabric) *net.UDPConn {
	t.Helper()
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(f.Addresses()[0]))
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// exchange sends a packet and returns the name and the source address from the answer.
func exchange(t *testing.T, c *net.UDPConn) (name, source string) {
	t.Helper()
	_, err := c.Write([]byte("hello"))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	buf := make([]byte, 2048)
	n, err := c.Read(buf)
	assert.NilError(t, err)
	_, err = fmt.Sscan(string(buf[:n]), &name, &source)
	assert.NilError(t, err)
	return name, source
}

// Guards against a fabric that sends all packets of a flow to one balancer, and against a source address that differs
// between the balancers.
func TestPacketsOfOneFlowReachEveryBalancerFromOneSource(t *testing.T) {
	f := start(t)
	for i, name := range []string{"one", "two", "three"} {
		ip := netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)})
		echo(t, name, netip.AddrPortFrom(ip, f.Addresses()[0].Port()))
		f.AddBalancer(fabric.Balancer{ID: name, IP: ip})
	}
	a, b := dial(t, f), dial(t, f)
	names, sources := map[string]int{}, map[string]int{}
	for range 60 {
		name, source := exchange(t, a)
		names[name]++
		sources[source]++
	}
	assert.Equal(t, len(names), 3)
	assert.Equal(t, len(sources), 1)
	_, other := exchange(t, b)
	assert.Equal(t, sources[other], 0)
	f.RemoveBalancer("two")
	for range 30 {
		name, _ := exchange(t, a)
		assert.Assert(t, name != "two")
	}
	var sent uint64
	for _, c := range f.Counts() {
		sent += c.Sent
	}
	assert.Equal(t, sent, uint64(91))
}

// Guards against a fabric that sends packets to a balancer that is not ready.
func TestOnlyReadyBalancerReceivesPackets(t *testing.T) {
	f := start(t)
	var ready atomic.Bool
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer h.Close()
	ip := netip.MustParseAddr("127.0.1.9")
	echo(t, "one", netip.AddrPortFrom(ip, f.Addresses()[0].Port()))
	f.AddBalancer(fabric.Balancer{ID: "one", IP: ip, ReadyURL: h.URL})
	waitReady := func(want bool) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if f.Counts()[0].Ready == want {
				return poll.Success()
			}
			return poll.Continue("readiness is not %v", want)
		}, poll.WithTimeout(30*time.Second))
	}
	waitReady(false)
	c := dial(t, f)
	_, err := c.Write([]byte("hello"))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.Unsent() == 1 {
			return poll.Success()
		}
		return poll.Continue("the packet was not counted as unsent")
	}, poll.WithTimeout(30*time.Second))
	ready.Store(true)
	waitReady(true)
	name, _ := exchange(t, c)
	assert.Equal(t, name, "one")
}

// Guards against a link that ignores its probabilities: with a probability of 1, every packet is lost or duplicated.
func TestLinksLoseAndDuplicate(t *testing.T) {
	f := start(t)
	ip := netip.MustParseAddr("127.0.1.10")
	echo(t, "one", netip.AddrPortFrom(ip, f.Addresses()[0].Port()))
	f.AddBalancer(fabric.Balancer{ID: "one", Zone: "a", IP: ip})
	f.SetLink(fabric.CallerZone, "a", fabric.Link{Loss: 1})
	c := dial(t, f)
	for range 5 {
		_, err := c.Write([]byte("lost"))
		assert.NilError(t, err)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.Counts()[0].Sent == 5 {
			return poll.Success()
		}
		return poll.Continue("not all packets were counted as sent")
	}, poll.WithTimeout(30*time.Second))
	assert.Equal(t, f.Counts()[0].Returned, uint64(0))
	f.SetLink(fabric.CallerZone, "a", fabric.Link{Duplicate: 1, Delay: time.Millisecond, Jitter: time.Millisecond, Reorder: 0.5})
	exchange(t, c)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.Counts()[0].Returned == 2 {
			return poll.Success()
		}
		return poll.Continue("the answers to both copies of the packet were not counted")
	}, poll.WithTimeout(30*time.Second))
}
