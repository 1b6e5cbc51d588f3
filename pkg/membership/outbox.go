package membership

import (
	"net/netip"
	"time"

	"github.com/bramleymast/bramleymast/pkg/board"
)

// Sizes in bytes.
const (
	// maxPayload keeps a control datagram within a 1,500-byte link.
	maxPayload = 1200
	// pushOverhead is the encoding around the records of a push.
	pushOverhead = 16
	// datagramOverhead is the frame and tag of a control datagram and its IPv4 and UDP headers.
	datagramOverhead = 36 + 28
)

const (
	// burstTime is how long an idle node saves up its budget; a zone state then reaches all peers at once.
	burstTime = 4 * time.Second
	// maxQueued bounds the records that wait in one class; what is dropped is repaired by the digests.
	maxQueued = 8192
)

// class is the priority of a queued record; lower values are sent first.
type class uint8

const (
	classZone class = iota
	classConfig
	classMember
	classCount
)

func classOf(k board.Kind) class {
	switch k {
	case board.KindZone, board.KindZoneReachability:
		return classZone
	case board.KindContract, board.KindBackend:
		return classConfig
	default:
		return classMember
	}
}

// reserveShare is the part of the budget that heartbeats and acks cannot use up, so that
// configuration still arrives when a balancer is home to too many members.
const reserveShare = 0.25

// bucket is a token bucket of bytes with a reserve for what waits in the queues.
type bucket struct {
	rate            float64
	tokens, reserve float64
	last            time.Time
}

func (b *bucket) refill(now time.Time) {
	shared, reserved := b.rate*(1-reserveShare), b.rate*reserveShare
	burst := burstTime.Seconds()
	if b.last.IsZero() {
		b.tokens, b.reserve = shared*burst, reserved*burst
	} else if d := now.Sub(b.last).Seconds(); d > 0 {
		b.tokens = min(b.tokens+shared*d, shared*burst)
		b.reserve = min(b.reserve+reserved*d, reserved*burst)
	}
	b.last = now
}

// take spends tokens for what is sent in any case; the debt is bounded.
func (b *bucket) take(n int) {
	b.tokens = max(b.tokens-float64(n), -b.rate*burstTime.Seconds())
}

// spend spends tokens for what can wait.
func (b *bucket) spend(n int) {
	if b.tokens > 0 {
		b.tokens -= float64(n)
		return
	}
	b.reserve -= float64(n)
}

func (b *bucket) isEmpty() bool { return b.tokens <= 0 && b.reserve <= 0 }

// untilFilled returns how long it takes until something that waits can be sent.
func (b *bucket) untilFilled() time.Duration {
	if !b.isEmpty() || b.rate <= 0 {
		return 0
	}
	seconds := min((1-b.tokens)/(b.rate*(1-reserveShare)), (1-b.reserve)/(b.rate*reserveShare))
	return time.Duration(seconds*float64(time.Second)) + time.Millisecond
}

// queue holds records by destination, so that those for one destination share a datagram
// and a record that changes again while it waits is sent once.
type queue struct {
	order   []netip.AddrPort
	ids     map[netip.AddrPort][]queued
	waiting int
}

type queued struct {
	id      board.ID
	relayed bool
}

// add reports whether there was room for a record.
func (q *queue) add(to netip.AddrPort, e queued) bool {
	ids := q.ids[to]
	for _, have := range ids {
		if have.id == e.id {
			return true
		}
	}
	if q.waiting >= maxQueued {
		return false
	}
	if q.ids == nil {
		q.ids = make(map[netip.AddrPort][]queued)
	}
	if len(ids) == 0 {
		q.order = append(q.order, to)
	}
	q.ids[to] = append(ids, e)
	q.waiting++
	return true
}

// next returns the first destination.
func (q *queue) next() (netip.AddrPort, []queued, bool) {
	if len(q.order) == 0 {
		return netip.AddrPort{}, nil, false
	}
	return q.order[0], q.ids[q.order[0]], true
}

// done removes the first n records of the first destination, which goes to the end if it has more.
func (q *queue) done(n int) {
	to := q.order[0]
	q.order = q.order[1:]
	q.waiting -= n
	if rest := q.ids[to][n:]; len(rest) > 0 {
		q.ids[to] = rest
		q.order = append(q.order, to)
		return
	}
	delete(q.ids, to)
}

// flush sends queued records in the order of their classes while the budget lasts.
func (n *Node) flush() {
	for c := range classCount {
		q := &n.queues[c]
		for !n.bucket.isEmpty() {
			to, es, ok := q.next()
			if !ok {
				break
			}
			q.done(n.sendRecords(to, es))
		}
	}
}

// sendRecords sends as many of the records as fit into one datagram and returns how many it has dealt with.
func (n *Node) sendRecords(to netip.AddrPort, es []queued) int {
	push := Push{Relayed: es[0].relayed}
	size := pushOverhead
	var large []Item
	count := 0
	for _, e := range es {
		r, ok := n.board.Get(e.id)
		if e.relayed != push.Relayed {
			break
		}
		if !ok {
			count++
			continue
		}
		b, err := EncodeRecord(r)
		if err != nil || len(b) > maxPayload-pushOverhead {
			large = append(large, Item{Hash: HashOf(r.ID), Version: r.Version})
			count++
			continue
		}
		if size+len(b) > maxPayload {
			break
		}
		size += len(b)
		push.Records = append(push.Records, r)
		count++
	}
	if len(push.Records) > 0 {
		n.bucket.spend(n.emitSend(to, push))
	}
	if len(large) > 0 {
		n.bucket.spend(n.emitSend(to, Notice{Items: large}))
	}
	return count
}

// emitSend emits a message and returns its size on the wire.
func (n *Node) emitSend(to netip.AddrPort, m Message) int {
	if !to.IsValid() || to == n.cfg.Address {
		return 0
	}
	payload, err := Encode(m)
	if err != nil {
		n.note(ReasonInvalid, board.ID{}, board.Version{})
		return 0
	}
	n.emit(Send{To: to, Message: m, Payload: payload})
	return len(payload) + datagramOverhead
}

// send emits a message that cannot wait, such as a heartbeat.
func (n *Node) send(to netip.AddrPort, m Message) { n.bucket.take(n.emitSend(to, m)) }

// sendSpare sends a message of a repair if the budget has anything left; a later exchange repeats it.
func (n *Node) sendSpare(to netip.AddrPort, m Message) {
	if n.bucket.isEmpty() {
		n.note(ReasonOverBudget, board.ID{}, board.Version{})
		return
	}
	n.bucket.spend(n.emitSend(to, m))
}

// enqueue puts a record in line for a destination.
func (n *Node) enqueue(to netip.AddrPort, id board.ID, relayed bool) {
	if !to.IsValid() || to == n.cfg.Address {
		return
	}
	if !n.queues[classOf(id.Kind)].add(to, queued{id: id, relayed: relayed}) {
		n.note(ReasonQueueFull, id, board.Version{})
	}
}

func (n *Node) queueEmpty() bool {
	for i := range n.queues {
		if n.queues[i].waiting > 0 {
			return false
		}
	}
	return true
}
