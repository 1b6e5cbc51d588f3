// Package controltest runs control cores against fake links, a fake store and a fake clock, for tests and measured slopes.
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

// errUnreachable is the answer to a pull from a process that is gone or cut off.
const errUnreachable = errors.ConstError("unreachable")

// Costs of the simulated transport.
const (
	// datagramOverhead is the frame and tag of a control datagram and its IPv4 and UDP headers, in bytes.
	datagramOverhead = 36 + 28
	pullTimeout      = 3 * time.Second
	// pullRate and pullBurst are the admission limits of internal/control.
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
	// PulledBytes were sent in answers to pulls.
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

	cluster     *Cluster
	incarnation uint64
	stopped     bool
	paused      bool
	heldEvents  []membership.Event
	tickAt      time.Time
	pullTokens  float64
	pullAt      time.Time
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

// Config describes a world.
type Config struct {
	Seed      uint64
	Heartbeat time.Duration
	// Budget is the number of bytes a second of each process; 0 means the default of the core.
	Budget int
	// Link returns the state of a path; nil means 2 to 3 ms without loss.
	Link func(from, to *Process) Link
	// Log receives each message and decision, one line each; nil keeps none.
	Log func(line string)
}

// Cluster is a set of processes, a store and a clock.
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

// New returns an empty world.
func New(cfg Config) *Cluster {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &Cluster{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 1)), start: start, now: start,
		byAddress: make(map[netip.AddrPort]*Process),
	}
	w.Store = &Store{cluster: w, leases: make(map[string]lease), entries: make(map[board.ID]board.Record)}
	return w
}

// SetLink replaces the state of the paths.
func (w *Cluster) SetLink(f func(from, to *Process) Link) { w.cfg.Link = f }

// Now returns the time since the start of the world.
func (w *Cluster) Now() time.Duration { return w.now.Sub(w.start) }

// Processes returns all processes in the order in which they were added.
func (w *Cluster) Processes() []*Process { return w.processes }

// AddressOf returns the control address of the nth process.
func AddressOf(n int) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
	return netip.AddrPortFrom(ip, 7000)
}

// AddBalancer adds a balancer that starts now.
func (w *Cluster) AddBalancer(id, zone string, seeds ...netip.AddrPort) *Process {
	p := w.add(id, zone, "", seeds)
	p.deliver(membership.SetMember{Value: board.Balancer{Zone: zone, ControlAddress: p.Address, DataAddress: p.Address}})
	return p
}

// AddAgent adds an agent that starts now.
func (w *Cluster) AddAgent(id, zone, service string, seeds ...netip.AddrPort) *Process {
	p := w.add(id, zone, service, seeds)
	p.SetPhase(board.PhaseReady)
	return p
}

func (w *Cluster) add(id, zone, service string, seeds []netip.AddrPort) *Process {
	p := &Process{ID: id, Zone: zone, Service: service, Address: AddressOf(len(w.processes) + 1), cluster: w}
	p.start(seeds)
	w.processes = append(w.processes, p)
	w.byAddress[p.Address] = p
	return p
}

func (p *Process) start(seeds []netip.AddrPort) {
	w := p.cluster
	p.incarnation = uint64(w.now.UnixNano())
	p.Board = &board.Board{}
	p.pullTokens = pullBurst
	p.pullAt = w.now
	p.tickAt = time.Time{}
	p.Node = membership.New(membership.Config{
		ID: p.ID, Zone: p.Zone, Service: p.Service, Incarnation: p.incarnation, Address: p.Address, Seeds: seeds,
		Board: p.Board, Heartbeat: w.cfg.Heartbeat, Budget: w.cfg.Budget, Store: p.Service == "",
		Seed: w.cfg.Seed + uint64(len(w.processes)),
	})
	p.deliver(membership.Tick{})
}

// SetPhase states the phase of an agent.
func (p *Process) SetPhase(phase board.Phase) {
	p.deliver(membership.SetMember{Value: board.Agent{
		Service: p.Service, Zone: p.Zone, Phase: phase, ControlAddress: p.Address, DataAddress: p.Address,
	}})
}

// Leave states that a balancer stops.
func (p *Process) Leave() {
	p.deliver(membership.SetMember{Value: board.Balancer{Zone: p.Zone, Leaving: true, ControlAddress: p.Address, DataAddress: p.Address}})
}

// Stop ends the process without a word.
func (p *Process) Stop() {
	p.stopped = true
	p.heldEvents = nil
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

// Pause holds the process; what arrives meanwhile waits for Resume.
func (p *Process) Pause() { p.paused = true }

// Resume lets a paused process go on.
func (p *Process) Resume() {
	p.paused = false
	held := p.heldEvents
	p.heldEvents = nil
	for _, e := range held {
		p.deliver(e)
	}
	p.deliver(membership.Tick{})
}

func (w *Cluster) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, run: f})
}

// At runs a function when a time has passed since the start of the world.
func (w *Cluster) At(d time.Duration, f func()) { w.after(w.start.Add(d).Sub(w.now), f) }

// Run lets time pass.
func (w *Cluster) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e, ok := heap.Pop(&w.queue).(event)
		if !ok {
			return
		}
		w.now = e.at
		e.run()
	}
	w.now = end
}

// RunUntil lets time pass until a condition holds, and returns how long it took; false means that it did not within d.
func (w *Cluster) RunUntil(d time.Duration, f func() bool) (time.Duration, bool) {
	const step = 10 * time.Millisecond
	start := w.now
	for w.now.Sub(start) < d {
		if f() {
			return w.now.Sub(start), true
		}
		w.Run(step)
	}
	return d, f()
}

// deliver hands an event to the core of a process.
func (p *Process) deliver(e membership.Event) {
	if p.stopped {
		return
	}
	if p.paused {
		p.heldEvents = append(p.heldEvents, e)
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
	w := p.cluster
	switch a := a.(type) {
	case membership.Send:
		p.send(a)
	case membership.Pull:
		p.pull(a)
	case membership.AcquireLease:
		w.Store.acquire(p)
	case membership.RenewLease:
		w.Store.renew(p)
	case membership.ReleaseLease:
		w.Store.release(p)
	case membership.ReadStore:
		w.Store.read(p, a.After)
	case membership.StopReading:
		w.Store.stop(p)
	case membership.DeliverLoad:
	case membership.Trace:
		w.log("%s decision %s %s %s %s", p.ID, a.Reason, a.ID.Kind, a.ID.Key, versionText(a.Version))
	}
}

func (w *Cluster) log(format string, args ...any) {
	if w.cfg.Log != nil {
		w.cfg.Log(fmt.Sprintf("%9.3fs ", w.Now().Seconds()) + fmt.Sprintf(format, args...))
	}
}

func (w *Cluster) link(from, to *Process) Link {
	if w.cfg.Link == nil {
		return Link{Delay: 2 * time.Millisecond, Jitter: time.Millisecond}
	}
	return w.cfg.Link(from, to)
}

func (w *Cluster) delay(l Link) time.Duration {
	if l.Jitter <= 0 {
		return l.Delay
	}
	return l.Delay + time.Duration(w.rand.Int64N(int64(l.Jitter)))
}

func (p *Process) send(a membership.Send) {
	w := p.cluster
	size := len(a.Payload) + datagramOverhead
	p.Usage.SentBytes += size
	p.Usage.SentMessages++
	to, ok := w.byAddress[a.To]
	if !ok {
		return
	}
	w.log("%s -> %s %s (%d bytes)", p.ID, to.ID, describe(a.Message), size)
	l := w.link(p, to)
	copies := 1
	if w.rand.Float64() < l.Duplicate {
		copies = 2
	}
	for range copies {
		if w.rand.Float64() < l.Loss {
			w.log("%s -> %s lost", p.ID, to.ID)
			continue
		}
		w.after(w.delay(l), func() { to.receive(p.Address, a.Payload, size) })
	}
}

// Receive hands a message of an unknown sender to the process.
func (p *Process) Receive(m membership.Message) { p.deliver(membership.Received{Message: m}) }

// receive decodes the payload as a real process does.
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

// admitPull applies the admission limits of internal/control.
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
	w := p.cluster
	to, ok := w.byAddress[a.To]
	out, back := Link{Loss: 1}, Link{Loss: 1}
	if ok {
		out, back = w.link(p, to), w.link(to, p)
	}
	node := p.Node
	answer := func(d time.Duration, e membership.PullResult) {
		w.after(d, func() {
			if p.Node == node {
				p.deliver(e)
			}
		})
	}
	failed := membership.PullResult{From: a.To, Request: a.Request, Err: errUnreachable}
	if !ok || out.Loss >= 1 || back.Loss >= 1 || to.stopped || to.paused {
		answer(pullTimeout, failed)
		return
	}
	w.after(w.delay(out), func() {
		if to.stopped || to.paused || !to.admitPull() {
			answer(w.delay(back), failed)
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
		w.log("%s pulls %d records from %s", p.ID, len(records), to.ID)
		answer(w.delay(back), membership.PullResult{
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
func (w *Cluster) All(f func(p *Process) bool) bool {
	for _, p := range w.processes {
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
