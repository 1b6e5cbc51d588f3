//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// backend is a stand-in of a backend server beside an agent. It processes any number of requests at a time.
type backend struct {
	w                       *world
	id, service, ip, zone   string
	conn                    *net.UDPConn
	health                  net.Listener
	work                    time.Duration
	born                    int64
	stopped                 chan struct{}
	beating                 sync.WaitGroup
	mu                      sync.Mutex
	flows                   map[string]*serverFlow
	state                   string
	seq                     uint64
	openings, runs, strays  int
	acknowledgedDrainingAt  time.Time
	openedAfterAcknowledged []time.Time
}

// serverFlow is the backend server's end of a flow.
type serverFlow struct {
	caller, address netip.AddrPort
	isn, next, want uint32 // want is the next number of the caller
	open            bool
	ended           bool
	unacked         [][]byte
	ran             map[string]bool
	timer           *time.Timer
	tries           int
}

func (w *world) backend(id, service, zone, ip string, work time.Duration) *backend {
	b := &backend{w: w, id: id, service: service, zone: zone, ip: ip, work: work, born: time.Now().UnixMilli(), stopped: make(chan struct{}), flows: make(map[string]*serverFlow), state: "ready"}
	var err error
	if b.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(w.at(ip, w.ports.app))); err != nil {
		fail("backend: %v", err)
	}
	if b.health, err = net.Listen("tcp4", w.at(ip, w.ports.app).String()); err != nil {
		fail("backend: %v", err)
	}
	go func() { _ = http.Serve(b.health, http.HandlerFunc(b.answerHealth)) }()
	go b.read()
	b.beating.Add(1)
	go b.beat()
	return b
}

func (b *backend) answerHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", b.id)
	if b.currentState() != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (b *backend) currentState() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

// leave makes the backend server drain for some time after the acknowledgement, and then leave and end.
func (b *backend) leave(drain time.Duration) {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	for !b.heartbeat() {
		time.Sleep(200 * time.Millisecond)
	}
	b.w.logf("backend server %s drains, acknowledged", b.id)
	time.Sleep(drain)
	b.call("Leave", "{}")
	b.w.logf("backend server %s leaves", b.id)
	b.stop()
	time.Sleep(500 * time.Millisecond)
}

// stop ends the process of the backend server without a word.
func (b *backend) stop() {
	close(b.stopped)
	b.conn.Close()
	b.health.Close()
	b.beating.Wait()
}

// beat sends a heartbeat at once and then every 1.2 s.
func (b *backend) beat() {
	defer b.beating.Done()
	for {
		b.heartbeat()
		select {
		case <-b.stopped:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat sends a heartbeat and reports whether it was acknowledged.
func (b *backend) heartbeat() bool {
	b.mu.Lock()
	b.seq++
	body, _ := json.Marshal(map[string]any{
		"service": b.service, "address": b.w.at(b.ip, b.w.ports.app).String(), "zone": b.zone, "version": "v1", "slots": 8,
		"state": b.state, "warmup-left-ms": 0, "seq": b.seq, "born": b.born,
	})
	draining := b.state == "draining"
	b.mu.Unlock()
	if !b.call("Heartbeat", string(body)) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if draining && b.acknowledgedDrainingAt.IsZero() {
		b.acknowledgedDrainingAt = time.Now()
	}
	return true
}

func (b *backend) call(name, body string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post(fmt.Sprintf("http://%s/-/Instances.%s/%s", b.w.at(b.ip, b.w.ports.control), name, b.id), "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode/100 == 2
}

func (b *backend) read() {
	buf := make([]byte, 4096)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, intact := decode(buf[:n])
		if !intact {
			b.w.violate("UNASKED", "backend %s got a packet that its sender did not write so", b.id)
			continue
		}
		b.mu.Lock()
		b.handle(p, buf[:n])
		b.mu.Unlock()
	}
}

func (b *backend) send(raw []byte) {
	_, _ = b.conn.WriteToUDP(raw, net.UDPAddrFromAddrPort(b.w.at(b.ip, b.w.ports.outbound)))
}

// handle answers a packet; mu must be locked.
func (b *backend) handle(p packet, raw []byte) {
	key := p.key(false)
	f := b.flows[key]
	if p.flags&(syn|ack) == syn {
		if f == nil || p.seq+1 != f.want && !f.open {
			f = &serverFlow{caller: p.src, address: p.dst, isn: rand.Uint32(), want: p.seq + 1, ran: make(map[string]bool)}
			f.next = f.isn + 1
			b.flows[key] = f
			b.openings++
			if at := b.acknowledgedDrainingAt; !at.IsZero() {
				b.openedAfterAcknowledged = append(b.openedAfterAcknowledged, time.Now())
			}
		}
		b.send(packet{src: p.dst, dst: p.src, flags: syn | ack, seq: f.isn, ack: f.want}.encode())
		return
	}
	if f == nil || p.flags&rst == 0 && p.ack-f.isn > f.next-f.isn {
		b.strays++
		back := append([]byte{}, raw...)
		back[24] |= bounced
		b.send(back)
		return
	}
	if p.flags&rst != 0 {
		b.drop(key, f)
		return
	}
	f.open = true
	if p.ack == f.next && f.timer != nil {
		f.timer.Stop()
		f.timer, f.unacked, f.tries = nil, nil, 0
	}
	if len(p.data) > 0 {
		b.handleData(key, f, p)
	}
	if p.flags&fin != 0 && p.seq+uint32(len(p.data)) == f.want {
		f.want++
		f.ended = true
		b.transmit(f, packet{src: f.address, dst: f.caller, flags: ack | fin, seq: f.next, ack: f.want})
		f.next++
	}
}

func (b *backend) handleData(key string, f *serverFlow, p packet) {
	if p.seq == f.want {
		f.want += uint32(len(p.data))
		id := header(p.data, "X-Request-Id")
		if !f.ran[id] {
			f.ran[id] = true
			b.runs++
			b.w.ran(id, b)
			time.AfterFunc(b.work, func() { b.respond(key, f, id) })
		}
	}
	b.send(packet{src: f.address, dst: f.caller, flags: ack, seq: f.next, ack: f.want}.encode())
}

// respond sends the answer to a request.
func (b *backend) respond(key string, f *serverFlow, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.flows[key] != f {
		return
	}
	text := "HTTP/1.1 200 OK\r\nX-Response-Signature: " + b.id + "/" + id + "\r\nContent-Length: 2\r\n\r\nok"
	b.transmit(f, packet{src: f.address, dst: f.caller, flags: ack, seq: f.next, ack: f.want, data: []byte(text)})
	f.next += uint32(len(text))
}

// transmit sends a packet until it is acknowledged, at most 8 times more.
func (b *backend) transmit(f *serverFlow, p packet) {
	f.unacked = append(f.unacked, p.encode())
	b.send(f.unacked[len(f.unacked)-1])
	if f.timer == nil {
		f.tries = 0
		b.schedule(f, retransmission)
	}
}

func (b *backend) schedule(f *serverFlow, d time.Duration) {
	f.timer = time.AfterFunc(d, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if f.timer == nil || len(f.unacked) == 0 || f.tries >= 8 {
			return
		}
		f.tries++
		for _, raw := range f.unacked {
			b.send(raw)
		}
		b.schedule(f, min(2*d, maxRetransmission))
	})
}

func (b *backend) drop(key string, f *serverFlow) {
	if f.timer != nil {
		f.timer.Stop()
		f.timer = nil
	}
	delete(b.flows, key)
}

// holds reports whether the flow is open here.
func (b *backend) holds(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[key]
	return f != nil && f.open && !f.ended
}
