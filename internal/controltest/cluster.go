// Package controltest simulates a cluster of control cores with links, a store and a clock, for tests and capacity
// measurements.
package controltest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/membership"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// errUnreachable is the error of a pull whose target is stopped, paused, cut off or refuses it.
const errUnreachable = errors.ConstError("unreachable")

// Properties of the simulated transport.
const (
	// datagramOverhead is the frame header and tag of a control datagram and its IPv4 and UDP headers, in bytes.
	datagramOverhead = 36 + 28
	pullTimeout      = 3 * time.Second
	// pullRate, in pulls per second, and pullBurst are the admission limits of internal/control.
	pullRate  = 4
	pullBurst = 32
)

// Link is the state of the path from one process to another.
type Link struct {
	Delay, Jitter time.Duration
	// Loss and Duplicate are probabilities; a Loss of 1 cuts the path.
	Loss, Duplicate float64
}

// Usage counts what a process sent and received.
type Usage struct {
	SentBytes, ReceivedBytes       int
	SentMessages, ReceivedMessages int
	// PulledBytes is the size of the records sent in replies to pulls.
	PulledBytes int
	// Events counts calls of Node.Handle.
	Events int
}

// Process is one simulated balancer or agent.
type Process struct {
	ID, Zone, Service string
	Address           netip.AddrPort
	Board             *board.Board
	Node              *membership.Node
	Usage             Usage

	cluster      *Cluster
	incarnation  uint64
	stopped      bool
	paused       bool
	queuedEvents []membership.Event
	tickAt       time.Time
	pullTokens   float64
	pullAt       time.Time
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is part of heap.Interface.
func (e *events) Push(x any) {
	if v, ok := x.(event); ok {
		*e = append(*e, v)
	}
}

// Pop is part of heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Config configures a Cluster.
type Config struct {
	Seed      uint64
	Heartbeat time.Duration
	// Budget is the number of bytes per second that each process may send; 0 means the default of the core.
	Budget int
	// Link returns the state of a path; nil means 2 to 3 ms without loss.
	Link func(from, to *Process) Link
	// Log receives one line for each message and decision; nil discards them.
	Log func(line string)
}

// Cluster is a set of simulated processes with a store and a clock.
type Cluster struct {
	cfg       Config
	rand      *rand.Rand
	start     time.Time
	now       time.Time
	seq       int
	queue     events
	processes []*Process
	byAddress map[netip.AddrPort]*Process
	Store     *Store
}

// New returns an empty cluster.
func New(cfg Config) *Cluster {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := &Cluster{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 1)), start: start, now: start,
		byAddress: make(map[netip.AddrPort]*Process),
	}
	c.Store = &Store{cluster: c, leases: make(map[string]lease), entries: make(map[board.ID]board.Record)}
	return c
}

// SetLink replaces the function that returns the state of a path.
func (c *Cluster) SetLink(f func(from, to *Process) Link) { c.cfg.Link = f }

// Now returns the simulated time since the start of the cluster.
func (c *Cluster) Now() time.Duration { return c.now.Sub(c.start) }

// Processes returns all processes in the order in which they were added.
func (c *Cluster) Processes() []*Process { return c.processes }

// AddressOf returns the control address of the nth process, counted from 1.
func AddressOf(n int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
	return netip.AddrPortFrom(ip, 7000)
}

// AddBalancer adds and starts a balancer.
func (c *Cluster) AddBalancer(id, zone string, seeds ...netip.AddrPort) *Process {
	p := c.add(id, zone, "", seeds)
	p.deliver(membership.SetMember{Value: board.Balancer{Zone: zone, ControlAddress: p.Address, DataAddress: p.Address}})
	return p
}

// AddAgent adds and starts an agent.
func (c *Cluster) AddAgent(id, zone, service string, seeds ...netip.AddrPort) *Process {
	p := c.add(id, zone, service, seeds)
	p.SetPhase(board.PhaseReady)
	return p
}

func (c *Cluster) add(id, zone, service string, seeds []netip.AddrPort) *Process {
	p := &Process{ID: id, Zone: zone, Service: service, Address: AddressOf(len(c.processes) + 1), cluster: c}
	p.start(seeds)
	c.processes = append(c.processes, p)
	c.byAddress[p.Address] = p
	return p
}

func (p *Process) start(seeds []netip.AddrPort) {
	c := p.cluster
	p.incarnation = uint64(c.now.UnixNano())
	p.Board = &board.Board{}
	p.pullTokens = pullBurst
	p.pullAt = c.now
	p.tickAt = time.Time{}
	p.Node = membership.New(membership.Config{
		ID: p.ID, Zone: p.Zone, Service: p.Service, Incarnation: p.incarnation, Address: p.Address, Seeds: seeds,
		Board: p.Board, Heartbeat: c.cfg.Heartbeat, Budget: c.cfg.Budget, Store: p.Service == "",
		Seed: c.cfg.Seed + uint64(len(c.processes)),
	})
	p.deliver(membership.Tick{})
}

// SetPhase announces the phase of an agent.
func (p *Process) SetPhase(phase board.Phase) {
	p.deliver(membership.SetMember{Value: board.Agent{
		Service: p.Service, Zone: p.Zone, Phase: phase, ControlAddress: p.Address, DataAddress: p.Address,
	}})
}

// Leave announces that a balancer is leaving.
func (p *Process) Leave() {
	p.deliver(membership.SetMember{Value: board.Balancer{Zone: p.Zone, Leaving: true, ControlAddress: p.Address, DataAddress: p.Address}})
}

// Stop ends the process without announcing it.
func (p *Process) Stop() {
	p.stopped = true
	p.queuedEvents = nil
}

// Restart starts a stopped process with an empty board and a new incarnation.
func (p *Process) Restart(seeds ...netip.AddrPort) {
	p.stopped = false
	p.start(seeds)
	if p.Service != "" {
		p.SetPhase(board.PhaseReady)
		return
	}
	p.deliver(membership.SetMember{Value: board.Balancer{Zone: p.Zone, ControlAddress: p.Address, DataAddress: p.Address}})
}

// Pause suspends the process; events that arrive meanwhile are queued until Resume.
func (p *Process) Pause() { p.paused = true }

// Resume delivers the queued events and lets the process continue.
func (p *Process) Resume() {
	p.paused = false
	queued := p.queuedEvents
	p.queuedEvents = nil
	for _, e := range queued {
		p.deliver(e)
	}
	p.deliver(membership.Tick{})
}

func (c *Cluster) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now.Add(d), seq: c.seq, run: f})
}

// At runs a function when a duration has passed since the start of the cluster.
func (c *Cluster) At(d time.Duration, f func()) { c.after(c.start.Add(d).Sub(c.now), f) }

// Run advances the clock by d.
func (c *Cluster) Run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e, ok := heap.Pop(&c.queue).(event)
		if !ok {
			return
		}
		c.now = e.at
		e.run()
	}
	c.now = end
}

// RunUntil advances the clock until a condition holds, and returns how long that took and whether the condition
// held within d.
func (c *Cluster) RunUntil(d time.Duration, f func() bool) (time.Duration, bool) {
	const step = 10 * time.Millisecond
	start := c.now
	for c.now.Sub(start) < d {
		if f() {
			return c.now.Sub(start), true
		}
		c.Run(step)
	}
	return d, f()
}

// deliver passes an event to the core of a process.
func (p *Process) deliver(e membership.Event) {
	if p.stopped {
		return
	}
	if p.paused {
		p.queuedEvents = append(p.queuedEvents, e)
		return
	}
	p.Usage.Events++
	for _, a := range p.Node.Handle(p.cluster.now, e) {
		p.perform(a)
	}
	p.schedule()
}

func (p *Process) schedule() {
	next := p.Node.Next()
	if !next.After(p.cluster.now) {
		next = p.cluster.now.Add(time.Millisecond)
	}
	if p.tickAt.After(p.cluster.now) && !next.Before(p.tickAt) {
		return
	}
	p.tickAt = next
	node := p.Node
	p.cluster.after(next.Sub(p.cluster.now), func() {
		if p.Node == node && p.tickAt.Equal(next) {
			p.deliver(membership.Tick{})
		}
	})
}

func (p *Process) perform(a membership.Action) {
	c := p.cluster
	switch a := a.(type) {
	case membership.Send:
		p.send(a)
	case membership.Pull:
		p.pull(a)
	case membership.AcquireLease:
		c.Store.acquire(p)
	case membership.RenewLease:
		c.Store.renew(p)
	case membership.ReleaseLease:
		c.Store.release(p)
	case membership.ReadStore:
		c.Store.read(p, a.After)
	case membership.StopReading:
		c.Store.stop(p)
	case membership.DeliverLoad:
	case membership.Trace:
		c.log("%s decision %s %s %s %s", p.ID, a.Reason, a.ID.Kind, a.ID.Key, versionText(a.Version))
	}
}

func (c *Cluster) log(format string, args ...any) {
	if c.cfg.Log != nil {
		c.cfg.Log(fmt.Sprintf("%9.3fs ", c.Now().Seconds()) + fmt.Sprintf(format, args...))
	}
}

func (c *Cluster) link(from, to *Process) Link {
	if c.cfg.Link == nil {
		return Link{Delay: 2 * time.Millisecond, Jitter: time.Millisecond}
	}
	return c.cfg.Link(from, to)
}

func (c *Cluster) delay(l Link) time.Duration {
	if l.Jitter <= 0 {
		return l.Delay
	}
	return l.Delay + time.Duration(c.rand.Int64N(int64(l.Jitter)))
}

func (p *Process) send(a membership.Send) {
	c := p.cluster
	size := len(a.Payload) + datagramOverhead
	p.Usage.SentBytes += size
	p.Usage.SentMessages++
	to, ok := c.byAddress[a.To]
	if !ok {
		return
	}
	c.log("%s -> %s %s (%d bytes)", p.ID, to.ID, describe(a.Message), size)
	l := c.link(p, to)
	copies := 1
	if c.rand.Float64() < l.Duplicate {
		copies = 2
	}
	for range copies {
		if c.rand.Float64() < l.Loss {
			c.log("%s -> %s lost", p.ID, to.ID)
			continue
		}
		c.after(c.delay(l), func() { to.receive(p.Address, a.Payload, size) })
	}
}

// Receive delivers a message that has no sender address.
func (p *Process) Receive(m membership.Message) { p.deliver(membership.Received{Message: m}) }

// receive decodes the payload of a datagram, as a real process does.
func (p *Process) receive(from netip.AddrPort, payload []byte, size int) {
	if p.stopped {
		return
	}
	m, err := membership.Decode(payload)
	if err != nil {
		p.cluster.log("%s refused a message: %v", p.ID, err)
		return
	}
	p.Usage.ReceivedBytes += size
	p.Usage.ReceivedMessages++
	p.deliver(membership.Received{From: from, Message: m})
}

// admitPull applies the rate limit of internal/control to pulls.
func (p *Process) admitPull() bool {
	now := p.cluster.now
	p.pullTokens = min(pullBurst, p.pullTokens+pullRate*now.Sub(p.pullAt).Seconds())
	p.pullAt = now
	if p.pullTokens < 1 {
		return false
	}
	p.pullTokens--
	return true
}

func (p *Process) pull(a membership.Pull) {
	c := p.cluster
	to, ok := c.byAddress[a.To]
	out, back := Link{Loss: 1}, Link{Loss: 1}
	if ok {
		out, back = c.link(p, to), c.link(to, p)
	}
	node := p.Node
	reply := func(d time.Duration, e membership.PullResult) {
		c.after(d, func() {
			if p.Node == node {
				p.deliver(e)
			}
		})
	}
	failed := membership.PullResult{From: a.To, Request: a.Request, Err: errUnreachable}
	if !ok || out.Loss >= 1 || back.Loss >= 1 || to.stopped || to.paused {
		reply(pullTimeout, failed)
		return
	}
	c.after(c.delay(out), func() {
		if to.stopped || to.paused || !to.admitPull() {
			reply(c.delay(back), failed)
			return
		}
		if a.Request.Member.Value != nil {
			to.deliver(membership.Received{Message: membership.Push{Records: []board.Record{a.Request.Member}}})
		}
		records := membership.Snapshot(to.Board, a.Request)
		for _, r := range records {
			if b, err := membership.EncodeRecord(r); err == nil {
				to.Usage.PulledBytes += len(b)
			}
		}
		c.log("%s pulls %d records from %s", p.ID, len(records), to.ID)
		reply(c.delay(back), membership.PullResult{
			From: a.To, Request: a.Request, Records: records, Complete: to.Node.Synchronised(),
		})
	})
}

func versionText(v board.Version) string {
	return fmt.Sprintf("%d.%d %s", v.Epoch%1e9, v.Seq, v.Liveness)
}

func describe(m membership.Message) string {
	switch m := m.(type) {
	case membership.Heartbeat:
		return fmt.Sprintf("heartbeat seq %d contract %d", m.Version.Seq, m.Contract)
	case membership.Ack:
		if m.InSync {
			return "ack in sync"
		}
		return "ack version " + versionText(m.Known)
	case membership.Push:
		names := make([]string, 0, len(m.Records))
		for _, r := range m.Records {
			names = append(names, fmt.Sprintf("%s %s %s", r.ID.Kind, r.ID.Key, versionText(r.Version)))
		}
		return "push " + strings.Join(names, ", ")
	case membership.Digest:
		return fmt.Sprintf("digest level %d bucket %d", m.Level, m.Bucket)
	case membership.Versions:
		return fmt.Sprintf("versions bucket %d items %d", m.Bucket, len(m.Items))
	case membership.Want:
		return fmt.Sprintf("want %d", len(m.Hashes))
	case membership.LivenessQuery:
		return "liveness query " + m.Member.Key
	case membership.LivenessReply:
		return fmt.Sprintf("liveness reply %s seen %d ms ago", m.Member.Key, m.AgeMS)
	}
	return fmt.Sprintf("%T", m)
}

// All reports whether a condition holds at every running process.
func (c *Cluster) All(f func(p *Process) bool) bool {
	for _, p := range c.processes {
		if !p.stopped && !f(p) {
			return false
		}
	}
	return true
}

// Revision returns the store revision of a record at a process.
func (p *Process) Revision(id board.ID) store.Revision {
	r, _ := p.Board.Get(id)
	return store.Revision(r.Version.Seq)
}
