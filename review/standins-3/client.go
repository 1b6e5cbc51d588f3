//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// clientFlow is a client's end of a flow.
type clientFlow struct {
	key     [2]netip.AddrPort
	front   string    // the balancer that got the first packet
	sentAt  time.Time // when the first packet was sent
	takenAt time.Time // when a server took the opening packet; zero if none did
	packets chan packet
	next    uint32 // the next sequence number of the client
	ack     uint32 // what the client has received
}

// clients is a stand-in for the clients of a deployment, which share one address, and for the platform's routers.
type clients struct {
	d    *deployment
	ip   netip.Addr
	conn *net.UDPConn

	mu       sync.Mutex
	rotation []*process // the balancers in rotation
	misses   map[*process]int
	flows    map[[2]netip.AddrPort]*clientFlow
	port     uint16
	ids      int
	altered  int
}

func (d *deployment) startClients(ip string) error {
	c := &clients{d: d, ip: netip.MustParseAddr(ip), misses: make(map[*process]int), flows: make(map[[2]netip.AddrPort]*clientFlow), port: 10000}
	var err error
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(d.at(ip, portPackets))); err != nil {
		return err
	}
	d.clients = c
	go c.read()
	go c.probe()
	return nil
}

// probe keeps the rotation by the readiness of the balancers, twice a second; two misses end it.
func (c *clients) probe() {
	for range time.Tick(500 * time.Millisecond) {
		var rotation []*process
		for _, p := range c.d.balancers() {
			if p.ready() {
				c.misses[p] = 0
			} else {
				c.misses[p]++
			}
			if c.misses[p] == 0 || c.misses[p] < 2 && c.inRotation(p) {
				rotation = append(rotation, p)
			}
		}
		c.mu.Lock()
		c.rotation = rotation
		c.mu.Unlock()
	}
}

func (c *clients) inRotation(p *process) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.rotation {
		if other == p {
			return true
		}
	}
	return false
}

func (c *clients) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		p, genuine := decode(buf[:n])
		isReset := p.flags == flagRst && len(p.data) == 0
		c.mu.Lock()
		f := c.flows[[2]netip.AddrPort{p.dst, p.src}]
		if !genuine && !isReset {
			c.altered++
		}
		c.mu.Unlock()
		if f != nil && (genuine || isReset) {
			select {
			case f.packets <- p:
			default:
			}
		}
	}
}

// front returns the balancer to which the routers send a packet of a flow: by a hash over the nodes in rotation.
func (c *clients) front(key [2]netip.AddrPort) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.rotation
	if nodes := c.d.balancers(); 2*len(all) < len(nodes) {
		all = nodes // As the platform does for a zone.
	}
	return all[int(key[0].Port())%len(all)]
}

func (c *clients) send(key [2]netip.AddrPort, p packet) *process {
	to := c.front(key)
	p.src, p.dst = key[0], key[1]
	_, _ = c.conn.WriteToUDP(p.encode(), net.UDPAddrFromAddrPort(c.d.at(to.ip, portPackets)))
	return to
}

func (c *clients) sentAt(key [2]netip.AddrPort) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.flows[key]; f != nil {
		return f.sentAt
	}
	return time.Time{}
}

func (c *clients) taken(key [2]netip.AddrPort, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.flows[key]; f != nil && f.takenAt.IsZero() {
		f.takenAt = at
	}
}

func (c *clients) newFlow(route netip.AddrPort) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &clientFlow{key: [2]netip.AddrPort{netip.AddrPortFrom(c.ip, c.port), route}, sentAt: time.Now(), packets: make(chan packet, 32)}
	c.flows[f.key] = f
	return f
}

func (c *clients) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids++
	return fmt.Sprintf("request-%d", c.ids)
}

// outcome is how an attempt of a client ended.
type outcome struct {
	id     string
	front  string
	sent   time.Time
	taken  time.Time // when a server took the opening packet; zero if none did
	result string    // answered, reset, no_answer
	ended  time.Time
}

// request opens a flow, sends one request on it and closes it.
func (c *clients) request(route netip.AddrPort, deadline time.Duration) outcome {
	f := c.newFlow(route)
	o := outcome{id: c.newID(), sent: f.sentAt}
	o.front, o.result = c.exchange(f, o.id, f.sentAt.Add(deadline))
	o.ended = time.Now()
	c.mu.Lock()
	o.taken = f.takenAt
	c.mu.Unlock()
	c.d.record.line("request", "id", o.id, "client", f.key[0], "route", route, "front", o.front, "sent_ms", c.d.record.ms(o.sent), "result", o.result)
	time.AfterFunc(3*time.Second, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.flows, f.key)
	})
	return o
}

// exchange opens the flow, sends a request and closes the flow.
func (c *clients) exchange(f *clientFlow, id string, deadline time.Time) (front, result string) {
	front, result = c.open(f)
	if result != resultOpen {
		return front, result
	}
	if _, result = c.ask(f, id, deadline); result == resultAnswered {
		c.close(f)
	}
	return front, result
}

// Results of an attempt.
const (
	resultOpen     = "open"
	resultAnswered = "answered"
	resultReset    = "reset"
	resultNone     = "no_answer"
)

// open sends the opening packet, and copies of it after 200 and 600 ms, and waits for up to 1.4 s.
func (c *clients) open(f *clientFlow) (front, result string) {
	isn := rand.Uint32()
	for i, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		to := c.send(f.key, packet{flags: flagSyn, seq: isn, ack: uint32(i)})
		if i == 0 {
			front = to.name
		}
		p, ok := f.await(time.Now().Add(wait), func(p packet) bool { return p.flags == flagSyn|flagAck || p.flags == flagRst })
		if ok && p.flags == flagRst {
			return front, resultReset
		}
		if ok {
			f.next, f.ack = isn+1, p.seq+1
			c.send(f.key, packet{flags: flagAck, seq: f.next, ack: f.ack})
			return front, resultOpen
		}
	}
	return front, resultNone
}

// ask sends a request on an open flow, again after 200 ms and then at doubled intervals up to 1.6 s, and waits for the
// answer until the deadline. It returns the balancer that got the first packet.
func (c *clients) ask(f *clientFlow, id string, deadline time.Time) (front, result string) {
	text := fmt.Sprintf("GET / HTTP/1.1\r\nHost: service\r\nX-Request-Id: %s\r\n\r\n", id)
	request := packet{flags: flagAck, seq: f.next, ack: f.ack, data: []byte(text)}
	for wait := 200 * time.Millisecond; time.Now().Before(deadline); wait = min(2*wait, 1600*time.Millisecond) {
		to := c.send(f.key, request)
		if front == "" {
			front = to.name
		}
		until := time.Now().Add(wait)
		if until.After(deadline) {
			until = deadline
		}
		p, ok := f.await(until, func(p packet) bool {
			return p.flags == flagRst && int32(p.seq-request.ack) < 76_800 && int32(p.seq-request.ack) > -76_800 || len(p.data) > 0 && p.seq == f.ack
		})
		if ok && p.flags == flagRst {
			return front, resultReset
		}
		if ok {
			f.next += uint32(len(text))
			f.ack = p.seq + uint32(len(p.data))
			c.send(f.key, packet{flags: flagAck, seq: f.next, ack: f.ack})
			return front, resultAnswered
		}
	}
	return front, resultNone
}

// close ends an open flow.
func (c *clients) close(f *clientFlow) {
	fin := packet{flags: flagFin | flagAck, seq: f.next, ack: f.ack}
	for range 3 {
		c.send(f.key, fin)
		if p, ok := f.await(time.Now().Add(200*time.Millisecond), func(p packet) bool { return p.flags&flagFin != 0 || p.flags == flagRst }); ok {
			c.send(f.key, packet{flags: flagAck, seq: fin.seq + 1, ack: p.seq + 1})
			return
		}
	}
}

func (f *clientFlow) await(until time.Time, accept func(p packet) bool) (packet, bool) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	for {
		select {
		case p := <-f.packets:
			if accept(p) {
				return p, true
			}
		case <-t.C:
			return packet{}, false
		}
	}
}
