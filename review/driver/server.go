//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for a backend server beside an agent.
type server struct {
	w       *world
	id      string
	service string
	zone    string
	ip      string
	slots   chan struct{}
	nslots  int
	work    time.Duration
	born    int64
	cold    time.Time
	udp     *net.UDPConn
	tcp     net.Listener
	stopped chan struct{}

	mu       sync.Mutex
	flows    map[string]*serverFlow
	ended    map[string]bool
	state    string
	seq      int
	accepted []time.Time // when flows were opened here, by their opening packets
	ackedAt  time.Time   // when draining was acknowledged
	beatAt   time.Time   // when the last heartbeat was acknowledged
	requests int
	packets  map[string][]time.Time // when packets of each flow, other than opening ones, arrived
	openAt   map[string]time.Time
}

type serverFlow struct {
	isn     uint32
	opening time.Time // when the opening packet arrived
	sentSyn uint32
	open    bool
	c       *conn
	buf     []byte
}

func (w *world) server(id, service, zone, ip string, slots int, work time.Duration, cold time.Duration) (*server, error) {
	s := &server{
		w: w, id: id, service: service, zone: zone, ip: ip, slots: make(chan struct{}, slots), nslots: slots, work: work,
		born: time.Now().Add(w.clockAhead).UnixMilli(), cold: time.Now().Add(cold), state: "ready",
		flows: make(map[string]*serverFlow), ended: make(map[string]bool), stopped: make(chan struct{}),
		packets: make(map[string][]time.Time), openAt: make(map[string]time.Time),
	}
	app := fmt.Sprintf("%s:%d", ip, w.ports.app)
	var err error
	if s.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(app))); err != nil {
		return nil, err
	}
	_ = s.udp.SetReadBuffer(4 << 20)
	if s.tcp, err = net.Listen("tcp4", app); err != nil {
		return nil, err
	}
	go http.Serve(s.tcp, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	go s.serve()
	go s.ticks()
	go s.beats()
	return s, nil
}

func (s *server) stop() {
	close(s.stopped)
	s.udp.Close()
	s.tcp.Close()
}

func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// beats sends a heartbeat at once and then every heartbeat interval; one that is not acknowledged is not repeated, since
// there is no other node to call.
func (s *server) beats() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		s.beat()
		select {
		case <-s.stopped:
			return
		case <-t.C:
		}
	}
}

func (s *server) beat() bool {
	s.mu.Lock()
	s.seq++
	state := s.state
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": fmt.Sprintf("%s:%d", s.ip, s.w.ports.app), "zone": s.zone, "version": "v1", "slots": s.nslots,
		"state": state, "warmup-left-ms": max(0, time.Until(s.cold).Milliseconds()), "seq": s.seq, "born": s.born,
	})
	s.mu.Unlock()
	ok := s.post("Heartbeat", body)
	s.mu.Lock()
	if ok {
		s.beatAt = time.Now()
		if state == "draining" && s.ackedAt.IsZero() {
			s.ackedAt = s.beatAt
		}
	}
	s.mu.Unlock()
	s.w.logf("heartbeat %s state=%s acknowledged=%v", s.id, state, ok)
	return ok
}

func (s *server) post(call string, body []byte) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post(fmt.Sprintf("http://%s:%d/-/Instances.%s/%s", s.ip, s.w.ports.control, call, s.id), "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (s *server) out(b []byte) {
	_, _ = s.udp.WriteToUDPAddrPort(b, netip.MustParseAddrPort(fmt.Sprintf("%s:%d", s.ip, s.w.ports.outbound)))
}

func (s *server) ticks() {
	for ; ; time.Sleep(20 * time.Millisecond) {
		select {
		case <-s.stopped:
			return
		default:
		}
		s.mu.Lock()
		var all []*conn
		for k, f := range s.flows {
			if f.c == nil {
				continue
			}
			if f.c.done() || f.c.hasFailed() {
				delete(s.flows, k)
				s.ended[k] = true
				continue
			}
			all = append(all, f.c)
		}
		s.mu.Unlock()
		for _, c := range all {
			c.tick(time.Now())
		}
	}
}

func (s *server) serve() {
	buf := make([]byte, 4096)
	for {
		n, _, err := s.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		s.handle(buf[:n])
	}
}

func (s *server) bounce(b []byte) {
	b = append([]byte{}, b...)
	b[24] |= bounced
	s.out(b)
}

func (s *server) handle(b []byte) {
	p, ok := decode(b)
	if !ok || !intact(b) {
		s.w.say("FAULT UNASKED %s got a packet that its sender did not write so", s.id)
		return
	}
	key := p.src.String() + ">" + p.dst.String()
	s.mu.Lock()
	f := s.flows[key]
	if p.flags&(syn|ack) != syn {
		s.packets[key] = append(s.packets[key], time.Now())
	}
	switch {
	case p.flags&(syn|ack) == syn:
		if f == nil {
			if len(s.slots) == cap(s.slots) && s.pendingLocked() >= 4*s.nslots {
				s.mu.Unlock()
				s.bounce(b)
				return
			}
			f = &serverFlow{isn: rand.Uint32(), opening: time.Now(), sentSyn: p.seq}
			s.flows[key] = f
			delete(s.ended, key)
		}
		isn := f.isn
		s.mu.Unlock()
		s.out(pkt{seq: isn, ack: p.seq + 1, src: p.dst, dst: p.src, flags: syn | ack}.encode())
		return
	case f == nil && s.ended[key]:
		s.mu.Unlock()
		switch {
		case p.flags&rst != 0:
		case p.flags&fin != 0:
			s.out(pkt{seq: p.ack, ack: p.seq + uint32(len(p.data)) + 1, src: p.dst, dst: p.src, flags: ack}.encode())
		case len(p.data) > 0:
			s.out(pkt{seq: p.ack, src: p.dst, dst: p.src, flags: rst}.encode())
		}
		return
	case f == nil || !f.open && p.ack != f.isn+1:
		s.mu.Unlock()
		s.w.logf("bounce %s %s", s.id, key)
		s.bounce(b)
		return
	case p.flags&rst != 0:
		delete(s.flows, key)
		s.ended[key] = true
		s.mu.Unlock()
		return
	case !f.open:
		f.open = true
		s.openAt[key] = time.Now()
		f.c = newConn(p.dst, p.src, f.isn+1, f.sentSyn+1, s.out, func(data []byte) { s.onData(key, f, data) })
		s.accepted = append(s.accepted, f.opening)
		s.w.logf("open %s %s", s.id, key)
	}
	s.mu.Unlock()
	f.c.handle(p)
}

// pendingLocked returns the number of flows that wait for a request or an answer.
func (s *server) pendingLocked() int { return s.requests }

func (s *server) onData(key string, f *serverFlow, data []byte) {
	f.buf = append(f.buf, data...)
	for {
		head, rest, found := bytes.Cut(f.buf, []byte("\r\n\r\n"))
		if !found {
			return
		}
		req, err := http.ReadRequest(newReader(append(append([]byte{}, head...), "\r\n\r\n"...)))
		if err != nil {
			s.w.say("FAULT UNASKED %s got a request that cannot be read: %v", s.id, err)
			return
		}
		f.buf = append([]byte{}, rest...)
		s.mu.Lock()
		s.requests++
		s.mu.Unlock()
		go s.run(key, f, req)
	}
}

func (s *server) run(key string, f *serverFlow, req *http.Request) {
	s.slots <- struct{}{}
	id := req.Header.Get("X-Request-Id")
	s.w.logf("run %s %s %s", s.id, key, id)
	time.Sleep(s.work)
	<-s.slots
	s.mu.Lock()
	s.requests--
	draining := s.state == "draining"
	s.mu.Unlock()
	size, _ := strconv.Atoi(req.URL.Query().Get("bytes"))
	body := bytes.Repeat([]byte("x"), size)
	f.c.send(append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Request-Id: %s\r\nX-Response-Signature: %s\r\n\r\n", size, id, s.id), body...))
	if draining || req.Header.Get("Connection") == "close" {
		f.c.close()
	}
}

// openedBetween returns how many flows were opened here by opening packets that arrived in a time.
func (s *server) openedBetween(from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, t := range s.accepted {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}
