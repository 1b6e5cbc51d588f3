//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

func newReader(b []byte) *bufio.Reader { return bufio.NewReader(bytes.NewReader(b)) }

// client is a stand-in for the clients at one address.
type client struct {
	w   *world
	ip  string
	udp *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*clientFlow
}

var (
	errReset    = errors.New("reset by the system")
	errPeer     = errors.New("reset by the server")
	errUnopened = errors.New("no answer to the opening packets")
	errDeadline = errors.New("deadline passed")
)

// clientFlow is a client's end of a flow.
type clientFlow struct {
	cl       *client
	src, dst netip.AddrPort
	hash     uint32
	isn      uint32
	via      *node // set if the flow is sent directly to a balancer

	mu     sync.Mutex
	c      *conn
	opened chan struct{}
	ended  chan struct{} // closed at a reset
	err    error
	in     bytes.Buffer
	more   chan struct{}
	bytes  int
	server string // which answered the last request
}

func (w *world) client() (*client, error) {
	cl := &client{w: w, ip: w.newIP(), port: 1023, flows: make(map[uint16]*clientFlow)}
	var err error
	cl.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", cl.ip, w.ports.packets))))
	if err != nil {
		return nil, err
	}
	_ = cl.udp.SetReadBuffer(4 << 20)
	go cl.serve()
	go func() {
		for ; ; time.Sleep(20 * time.Millisecond) {
			cl.mu.Lock()
			var all []*conn
			for _, f := range cl.flows {
				f.mu.Lock()
				if f.c != nil {
					all = append(all, f.c)
				}
				f.mu.Unlock()
			}
			cl.mu.Unlock()
			for _, c := range all {
				c.tick(time.Now())
			}
		}
	}()
	return cl, nil
}

func (cl *client) serve() {
	buf := make([]byte, 4096)
	for {
		n, _, err := cl.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok {
			cl.w.say("FAULT MIXED %s got a packet that cannot be read", cl.ip)
			continue
		}
		cl.mu.Lock()
		f := cl.flows[p.dst.Port()]
		cl.mu.Unlock()
		if f == nil || p.src != f.dst || p.dst != f.src {
			continue
		}
		system := p.flags&rst != 0 && p.sum == 0 && len(p.data) == 0
		if !system && !intact(buf[:n]) {
			cl.w.say("FAULT MIXED %s got a packet that its sender did not write so", cl.ip)
			continue
		}
		f.handle(p, system)
	}
}

func (f *clientFlow) handle(p pkt, system bool) {
	f.mu.Lock()
	c := f.c
	switch {
	case p.flags&rst != 0:
		if c != nil && system {
			if d := int32(p.seq - c.lastAck()); d > 76800 || d < -76800 {
				f.mu.Unlock()
				return
			}
		}
		if f.err == nil {
			f.err = errPeer
			if system {
				f.err = errReset
			}
			close(f.ended)
		}
	case p.flags&(syn|ack) == syn|ack:
		if c == nil && f.err == nil && p.ack == f.isn+1 {
			f.c = newConn(f.src, f.dst, f.isn+1, p.seq+1, f.out, f.receive)
			close(f.opened)
			c := f.c
			f.mu.Unlock()
			c.mu.Lock()
			c.sendAck()
			c.mu.Unlock()
			return
		}
	case c != nil:
		f.mu.Unlock()
		c.handle(p)
		return
	}
	f.mu.Unlock()
}

func (f *clientFlow) receive(data []byte) {
	f.mu.Lock()
	f.in.Write(data)
	f.bytes += len(data)
	f.mu.Unlock()
	select {
	case f.more <- struct{}{}:
	default:
	}
}

func (f *clientFlow) out(b []byte) {
	n := f.via
	if n == nil {
		n = f.cl.w.router.pick(f.hash)
	}
	_, _ = f.cl.udp.WriteToUDPAddrPort(b, netip.MustParseAddrPort(fmt.Sprintf("%s:%d", n.ip, f.cl.w.ports.packets)))
}

// open opens a flow to a port of the service address; it goes by way of the router, or directly to a balancer.
func (cl *client) open(port int, via *node) (*clientFlow, error) {
	cl.mu.Lock()
	for {
		if cl.port++; cl.port < 1024 {
			cl.port = 1024
		}
		if cl.flows[cl.port] == nil {
			break
		}
	}
	f := &clientFlow{
		cl: cl, src: netip.AddrPortFrom(netip.MustParseAddr(cl.ip), cl.port), dst: netip.AddrPortFrom(netip.MustParseAddr(serviceIP), uint16(port)),
		isn: rand.Uint32(), via: via, opened: make(chan struct{}), ended: make(chan struct{}), more: make(chan struct{}, 1),
	}
	cl.flows[cl.port] = f
	cl.mu.Unlock()
	h := fnv.New32a()
	fmt.Fprint(h, f.src, f.dst)
	f.hash = h.Sum32()
	for i, wait := range []time.Duration{200, 400, 800} {
		f.out(pkt{seq: f.isn, ack: uint32(i), src: f.src, dst: f.dst, flags: syn}.encode())
		t := time.NewTimer(wait * time.Millisecond)
		select {
		case <-f.opened:
			t.Stop()
			return f, nil
		case <-f.ended:
			t.Stop()
			f.forget()
			return nil, f.err
		case <-t.C:
		}
	}
	f.forget()
	return nil, errUnopened
}

func (f *clientFlow) forget() {
	f.cl.mu.Lock()
	defer f.cl.mu.Unlock()
	delete(f.cl.flows, f.src.Port())
}

// request sends a request on an open flow and returns the name of the server and the size of the answer.
func (f *clientFlow) request(id string, bytes int, last bool, deadline time.Duration) (server string, size int, err error) {
	head := fmt.Sprintf("GET /?bytes=%d HTTP/1.1\r\nHost: service\r\nX-Request-Id: %s\r\n", bytes, id)
	if last {
		head += "Connection: close\r\n"
	}
	f.cl.w.logf("send %s %s>%s", id, f.src, f.dst)
	f.c.send([]byte(head + "\r\n"))
	t := time.NewTimer(deadline)
	defer t.Stop()
	for {
		f.mu.Lock()
		data := append([]byte{}, f.in.Bytes()...)
		f.mu.Unlock()
		if resp, err := http.ReadResponse(newReader(data), nil); err == nil {
			body, err := io.ReadAll(resp.Body)
			if err == nil {
				f.mu.Lock()
				f.in.Reset()
				f.mu.Unlock()
				if got := resp.Header.Get("X-Request-Id"); got != id {
					f.cl.w.say("FAULT MIXED %s got the answer to %s", id, got)
				}
				server = resp.Header.Get("X-Response-Signature")
				f.cl.w.logf("answer %s %d by %s", id, resp.StatusCode, server)
				if last {
					f.c.close()
					go func() {
						time.Sleep(300 * time.Millisecond)
						f.forget()
					}()
				}
				return server, len(body), nil
			}
		}
		select {
		case <-f.more:
		case <-f.ended:
			f.cl.w.logf("failed %s %v", id, f.err)
			f.forget()
			return "", 0, f.err
		case <-t.C:
			f.cl.w.logf("failed %s %v", id, errDeadline)
			f.forget()
			return "", 0, errDeadline
		}
	}
}

// once opens a flow for one request, without further tries.
func (cl *client) once(port int, via *node, id string, bytes int, deadline time.Duration) (string, error) {
	f, err := cl.open(port, via)
	if err != nil {
		cl.w.logf("failed %s %v", id, err)
		return "", err
	}
	s, _, err := f.request(id, bytes, true, deadline)
	return s, err
}
