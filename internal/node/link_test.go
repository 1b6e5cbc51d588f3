package node_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/node"
	"github.com/bramleymast/bramleymast/internal/standin/fabric"
)

// linkFaults are the fault rates of the links to data addresses.
type linkFaults struct {
	seed            uint64
	loss, duplicate float64
	// jitter is the maximum random delay of a packet, which reorders packets.
	jitter time.Duration
}

// addLink starts a link to a new data address and returns that address and the address of the link.
func (d *deployment) addLink() (bind, advertised netip.AddrPort) {
	d.t.Helper()
	reserve, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.host, 0)))
	assert.NilError(d.t, err)
	bind = reserve.LocalAddr().(*net.UDPAddr).AddrPort()
	in, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.host, 0)))
	assert.NilError(d.t, err)
	assert.NilError(d.t, reserve.Close())
	d.link.seed++
	l := &link{faults: *d.link, conn: in, to: bind, random: rand.New(rand.NewPCG(d.link.seed, 0))}
	d.run(l.run)
	return bind, in.LocalAddr().(*net.UDPAddr).AddrPort()
}

// link forwards datagrams to an address, with loss, duplicates and delays.
type link struct {
	faults linkFaults
	conn   *net.UDPConn
	to     netip.AddrPort
	random *rand.Rand
}

func (l *link) run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { l.conn.Close() })()
	b := make([]byte, 2048)
	for ctx.Err() == nil {
		n, _, err := l.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			continue
		}
		copies := 1
		switch p := l.random.Float64(); {
		case p < l.faults.loss:
			copies = 0
		case p < l.faults.loss+l.faults.duplicate:
			copies = 2
		}
		for range copies {
			packet := bytes.Clone(b[:n])
			delay := time.Duration(l.random.Int64N(int64(l.faults.jitter)))
			time.AfterFunc(delay, func() { _, _ = l.conn.WriteToUDPAddrPort(packet, l.to) })
		}
	}
	return nil
}

// addFabric adds a balancer in each of the zones, and a fabric that distributes the packets to the returned address over
// them.
func (d *deployment) addFabric(zones ...string) netip.AddrPort {
	d.t.Helper()
	address := netip.AddrPortFrom(d.host, d.ports[0])
	f, err := fabric.New(fabric.Config{Addresses: []netip.AddrPort{address}, Seed: 1})
	assert.NilError(d.t, err)
	for _, zone := range zones {
		ip := d.addBalancer(zone)
		f.AddBalancer(fabric.Balancer{ID: ip.String(), Zone: zone, IP: ip})
	}
	d.run(f.Run)
	return address
}

// Guards against broken flows and truncated or mixed-up responses when the links between balancers and agents lose 1 to 5%
// of the packets, duplicate some and reorder them, and the packets of a flow take different balancers.
func TestAnswersAreWholeOverFaultyLinks(t *testing.T) {
	const size = 1 << 20
	body := bytes.Repeat([]byte("swatches"), size/8)
	for _, loss := range []float64{0.01, 0.05} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			d := newDeployment(t)
			d.link = &linkFaults{loss: loss, duplicate: 0.02, jitter: 5 * time.Millisecond}
			d.apply()
			address := d.addFabric("a", "b", "a")
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = fmt.Fprintf(w, "%s ", r.URL.Path)
				_, _ = w.Write(body)
			})
			d.waitReady([]*node.Agent{
				d.addAgent("one", "a", handler), d.addAgent("two", "b", handler), d.addAgent("three", "b", handler),
			})
			for i := range 4 {
				path := fmt.Sprintf("/catalogue/%d", i)
				status, outcome, answer := get(t, address, path)
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, outcome, "answered")
				assert.Assert(t, answer == path+" "+string(body), "%d bytes", len(answer))
			}
		})
	}
}
