//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// opening is an opening packet that a server took.
type opening struct {
	sent, arrived time.Time
	client        netip.AddrPort
	cold          bool
}

// serverFlow is a server's end of a flow.
type serverFlow struct {
	isn, next, una uint32 // its first sequence number, the next one, and the lowest one that is not acknowledged
	callerISN      uint32
	expected       uint32 // the next number of the client
	open, finished bool
	answered       bool
	sentAt         time.Time
	tries          int
	pending        []packet // sent and not acknowledged
}

// server is a stand-in for a server beside an agent.
type server struct {
	d        *deployment
	id       string
	service  string
	zone     string
	ip       string
	slots    chan struct{}
	work     time.Duration
	born     time.Time
	conn     *net.UDPConn
	health   net.Listener
	outbound *net.UDPAddr

	mu        sync.Mutex
	flows     map[[2]netip.AddrPort]*serverFlow
	coldUntil time.Time
	coldSince time.Time
	seq       int
	openings  []opening
	forged    int
	bounced   int
}

// startServer starts a server, which is cold for a period.
func (d *deployment) startServer(id, service, zone, ip string, cold time.Duration) (*server, error) {
	now := time.Now()
	s := &server{
		d: d, id: id, service: service, zone: zone, ip: ip, slots: make(chan struct{}, d.slots), work: d.work, born: now,
		flows: make(map[[2]netip.AddrPort]*serverFlow), outbound: net.UDPAddrFromAddrPort(d.at(ip, portOutbound)),
	}
	if cold > 0 {
		s.coldSince, s.coldUntil = now, now.Add(cold)
	}
	var err error
	if s.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(d.at(ip, portApp))); err != nil {
		return nil, err
	}
	if s.health, err = net.Listen("tcp4", d.at(ip, portApp).String()); err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(s.health, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})) }()
	go s.read()
	go s.retransmit()
	go s.heartbeats()
	return s, nil
}

// turnCold makes the server cold for a period, which its next heartbeat tells.
func (s *server) turnCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldSince, s.coldUntil = time.Now(), time.Now().Add(d)
}

// heartbeats sends a heartbeat at once, again after a failure, and then one in each heartbeat interval.
func (s *server) heartbeats() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		if s.heartbeat(client) {
			time.Sleep(s.d.heartbeat)
		} else {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (s *server) heartbeat(client *http.Client) bool {
	s.mu.Lock()
	s.seq++
	left := max(time.Until(s.coldUntil), 0).Milliseconds()
	body := fmt.Sprintf(`{"service":%q,"address":"%s","zone":%q,"version":"v1","slots":%d,"state":"ready","warmup-left-ms":%d,"seq":%d,"born":%d}`,
		s.service, s.d.at(s.ip, portApp), s.zone, cap(s.slots), left, s.seq, s.born.UnixMilli())
	s.mu.Unlock()
	resp, err := client.Post("http://"+s.d.at(s.ip, portControl).String()+"/-/Instances.Heartbeat/"+s.id, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	resp.Body.Close()
	if left > 0 {
		s.d.record.line("heartbeat", "server", s.id, "warmup_left_ms", left, "acknowledged", resp.StatusCode == http.StatusOK)
	}
	return resp.StatusCode == http.StatusOK
}

func (s *server) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		p, genuine := decode(buf[:n])
		if !genuine || p.flags == flagSyn|flagAck {
			s.mu.Lock()
			s.forged++
			s.mu.Unlock()
			s.d.record.line("forged", "server", s.id, "from", p.src, "flags", p.flags)
			continue
		}
		s.handle(p, buf[:n])
	}
}

func (s *server) handle(p packet, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := [2]netip.AddrPort{p.src, p.dst}
	f := s.flows[key]
	s.d.arrived(key, s, f != nil && f.open, p.flags != flagSyn)
	if p.flags == flagSyn {
		s.onOpening(key, f, p)
		return
	}
	if f == nil || p.flags&flagAck != 0 && !f.acknowledges(p.ack) {
		s.bounced++
		b := bytes.Clone(raw)
		b[24] |= flagBounced
		_, _ = s.conn.WriteToUDP(b, s.outbound)
		return
	}
	switch {
	case p.flags&flagRst != 0:
		delete(s.flows, key)
		return
	case p.flags&flagAck != 0:
		if !f.open {
			s.d.opened(key, s)
		}
		f.open = true
		f.acknowledge(p.ack)
	}
	switch {
	case len(p.data) > 0:
		if p.seq == f.expected {
			f.expected += uint32(len(p.data))
			go s.run(key, p)
		}
		s.send(f, packet{src: p.dst, dst: p.src, flags: flagAck, seq: f.next, ack: f.expected})
	case p.flags&flagFin != 0:
		if p.seq == f.expected && !f.finished {
			f.expected++
			f.finished = true
			fin := packet{src: p.dst, dst: p.src, flags: flagFin | flagAck, seq: f.next, ack: f.expected}
			f.next++
			s.sendReliably(f, fin)
			time.AfterFunc(5*time.Second, func() { s.forget(key, f) })
			return
		}
		s.send(f, packet{src: p.dst, dst: p.src, flags: flagAck, seq: f.next, ack: f.expected})
	}
}

func (s *server) onOpening(key [2]netip.AddrPort, f *serverFlow, p packet) {
	now := time.Now()
	if f == nil || f.callerISN != p.seq {
		isn := rand.Uint32()
		f = &serverFlow{isn: isn, next: isn + 1, una: isn + 1, callerISN: p.seq, expected: p.seq + 1}
		s.flows[key] = f
		s.openings = append(s.openings, opening{sent: s.d.clients.sentAt(key), arrived: now, client: p.src, cold: now.Before(s.coldUntil)})
		s.d.record.line("opening", "server", s.id, "client", p.src, "route", p.dst, "cold", now.Before(s.coldUntil))
		s.d.clients.taken(key, now)
		time.AfterFunc(3*time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !f.open && s.flows[key] == f {
				delete(s.flows, key)
			}
		})
	}
	s.send(f, packet{src: p.dst, dst: p.src, flags: flagSyn | flagAck, seq: f.isn, ack: p.seq + 1})
}

// run works on a request and answers it.
func (s *server) run(key [2]netip.AddrPort, p packet) {
	s.slots <- struct{}{}
	id := requestID(p.data)
	s.d.record.line("run", "server", s.id, "request", id)
	work := s.work
	s.mu.Lock()
	if time.Now().Before(s.coldUntil) {
		work = work * 8 / 5
	}
	s.mu.Unlock()
	time.Sleep(work)
	<-s.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	if f == nil {
		return
	}
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Response-Signature: %s\r\nContent-Length: 2\r\n\r\nok", id)
	answer := packet{src: p.dst, dst: p.src, flags: flagAck, seq: f.next, ack: f.expected, data: []byte(text)}
	f.next += uint32(len(text))
	s.sendReliably(f, answer)
}

func (s *server) forget(key [2]netip.AddrPort, f *serverFlow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows[key] == f {
		delete(s.flows, key)
	}
}

func (f *serverFlow) acknowledges(ack uint32) bool { return ack-(f.isn+1) <= f.next-(f.isn+1) }

func (f *serverFlow) acknowledge(ack uint32) {
	kept := f.pending[:0]
	for _, p := range f.pending {
		end := p.seq + uint32(len(p.data))
		if p.flags&flagFin != 0 {
			end++
		}
		if int32(end-ack) > 0 {
			kept = append(kept, p)
		}
	}
	f.pending, f.tries = kept, 0
}

func (s *server) send(_ *serverFlow, p packet) { _, _ = s.conn.WriteToUDP(p.encode(), s.outbound) }

func (s *server) sendReliably(f *serverFlow, p packet) {
	f.pending = append(f.pending, p)
	f.sentAt, f.tries = time.Now(), 0
	s.send(f, p)
}

// retransmit sends what is not acknowledged again after 200 ms, and then at doubled intervals up to 1.6 s, 8 times.
func (s *server) retransmit() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for _, f := range s.flows {
			if len(f.pending) == 0 || f.tries >= 8 || time.Since(f.sentAt) < min(200*time.Millisecond<<f.tries, 1600*time.Millisecond) {
				continue
			}
			f.tries++
			f.sentAt = time.Now()
			for _, p := range f.pending {
				s.send(f, p)
			}
		}
		s.mu.Unlock()
	}
}

// taken returns the opening packets that the server has taken.
func (s *server) taken() []opening {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]opening(nil), s.openings...)
}

func requestID(data []byte) string {
	_, rest, ok := strings.Cut(string(data), "X-Request-Id: ")
	if !ok {
		return ""
	}
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
