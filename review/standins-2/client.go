//go:build review

package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// serviceIP is the address of all routes. It stands in packets only; nothing is sent to it.
const serviceIP = "127.198.18.1"

// client is a stand-in of a client machine with any number of flows.
type client struct {
	w    *world
	ip   string
	zone string
	conn *net.UDPConn
	mu   sync.Mutex
	port uint16
	in   map[string]chan packet
}

func (w *world) client(zone string) *client {
	c := &client{w: w, ip: w.newIP(), zone: zone, port: 1024, in: make(map[string]chan packet)}
	var err error
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(w.at(c.ip, w.ports.packets))); err != nil {
		fail("client: %v", err)
	}
	go c.read()
	return c
}

func (c *client) read() {
	buf := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, intact := decode(buf[:n])
		if !intact && p.flags != rst {
			c.w.violate("MIXED", "client %s got a packet that its sender did not write so", c.ip)
			continue
		}
		c.mu.Lock()
		in := c.in[p.key(true)]
		c.mu.Unlock()
		select {
		case in <- p:
		default: // The flow is closed, or its reader is behind.
		}
	}
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	c        *client
	src, dst netip.AddrPort
	key      string
	in       chan packet
	seq, ack uint32
	opened   bool
	reset    bool // a reset that the flow accepts has arrived
	answer   []byte
}

// outcome is how a request ended.
type outcome string

const (
	served   outcome = "200"
	refused  outcome = "reset before the flow opened"
	noAnswer outcome = "no SYN+ACK within 1.4 s"
	cut      outcome = "reset of the open flow"
	late     outcome = "deadline"
)

func (c *client) flow(port uint16) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &clientFlow{
		c: c, src: netip.AddrPortFrom(netip.MustParseAddr(c.ip), c.port), dst: netip.AddrPortFrom(netip.MustParseAddr(serviceIP), port),
		in: make(chan packet, 64), seq: rand.Uint32(),
	}
	f.key = f.src.String() + ">" + f.dst.String()
	c.in[f.key] = f.in
	return f
}

func (f *clientFlow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.in, f.key)
}

// send sends a packet through the entry host that the router selects now.
func (f *clientFlow) send(p packet) {
	p.src, p.dst = f.src, f.dst
	if n := f.c.w.router(f.c.zone, f.key); n != nil {
		_, _ = f.c.conn.WriteToUDP(p.encode(), net.UDPAddrFromAddrPort(f.c.w.at(n.ip, f.c.w.ports.packets)))
	}
}

// open opens the flow: a SYN, and copies after 200 and 600 ms, until 1.4 s have passed.
func (f *clientFlow) open() outcome {
	started := time.Now()
	for i, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		t := time.NewTimer(time.Until(started.Add(at)))
		for waiting := true; waiting; {
			select {
			case <-t.C:
				waiting = false
			case p := <-f.in:
				switch {
				case p.flags&rst != 0:
					return refused
				case p.flags == syn|ack && p.ack == f.seq+1:
					f.seq++
					f.ack, f.opened = p.seq+1, true
					f.send(packet{flags: ack, seq: f.seq, ack: f.ack})
					return served
				}
			}
		}
		if i < 3 {
			f.send(packet{flags: syn, seq: f.seq, ack: uint32(i)})
		}
	}
	return noAnswer
}

// request sends a request on an open flow, again after 200 ms and twice as long each time, until it is answered.
func (f *clientFlow) request(id string, deadline time.Duration) outcome {
	data := []byte("GET /x HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\n\r\n")
	end := time.NewTimer(deadline)
	defer end.Stop()
	acked := false
	f.answer = nil
	wait := retransmission
	f.send(packet{flags: ack, seq: f.seq, ack: f.ack, data: data})
	again := time.NewTimer(wait)
	defer again.Stop()
	for {
		select {
		case <-end.C:
			return late
		case <-again.C:
			if !acked {
				f.send(packet{flags: ack, seq: f.seq, ack: f.ack, data: data})
				wait = min(2*wait, maxRetransmission)
				again.Reset(wait)
			}
		case p := <-f.in:
			if p.flags&rst != 0 {
				if d := p.seq - f.ack; d <= resetReach || -d <= resetReach {
					f.reset = true
					return cut
				}
				continue
			}
			acked = acked || p.ack == f.seq+uint32(len(data))
			if len(p.data) > 0 && p.seq == f.ack {
				f.ack += uint32(len(p.data))
				f.answer = p.data
				f.seq += uint32(len(data))
				f.send(packet{flags: ack, seq: f.seq, ack: f.ack})
				return served
			}
			if p.flags&syn != 0 {
				f.send(packet{flags: ack, seq: f.seq, ack: f.ack})
			}
		}
	}
}

// close ends the flow.
func (f *clientFlow) close() {
	if f.opened && !f.reset {
		f.send(packet{flags: ack | fin, seq: f.seq, ack: f.ack})
		f.seq++
		time.AfterFunc(100*time.Millisecond, func() { f.send(packet{flags: ack, seq: f.seq, ack: f.ack + 1}) })
	}
	time.AfterFunc(time.Second, f.forget)
}

// once sends one request on a flow of its own.
func (c *client) once(port uint16, deadline time.Duration) (o outcome, id string) {
	id = c.w.newID()
	f := c.flow(port)
	defer f.close()
	if o = f.open(); o == served {
		o = f.request(id, deadline)
	}
	if o == served {
		c.checkAnswer(f, id)
	}
	return o, id
}

func (c *client) checkAnswer(f *clientFlow, id string) {
	if s := header(f.answer, "X-Response-Signature"); !strings.HasSuffix(s, "/"+id) {
		c.w.violate("MIXED", "request %s got the answer %q", id, s)
	}
}

// hash selects one of n by a key, as routers with the hash "mod" do.
func hash(key string, n int) int {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, key)
	return int(h.Sum32() % uint32(n))
}
