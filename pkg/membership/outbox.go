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
	// pushOverhead is the size of a Push without its records.
	pushOverhead = 16
	// datagramOverhead is the frame header and tag of a control datagram and its IPv4 and UDP headers.
	datagramOverhead = 36 + 28
)

const (
	// burstDuration limits the unused budget that an idle node accumulates, enough to push a zone state to all peers at
	// once.
	burstDuration = 4 * time.Second
	// maxQueuedRecords limits the queued records of one priority; digests repair what is dropped.
	maxQueuedRecords = 8192
)

// priority orders the queues; lower values are sent first.
type priority uint8

const (
	priorityZone priority = iota
	priorityConfig
	priorityMember
	priorityCount
)

func priorityOf(k board.Kind) priority {
	switch k {
	case board.KindZone, board.KindZoneReachability:
		return priorityZone
	case board.KindContract, board.KindBackend:
		return priorityConfig
	default:
		return priorityMember
	}
}

// reserveShare is the part of the budget that heartbeats and acks cannot use, so that configuration is still sent
// when a balancer is home to too many members.
const reserveShare = 0.25

// tokenBucket limits the bytes sent; a part of them is reserved for queued records.
type tokenBucket struct {
	rate            float64
	tokens, reserve float64
	last            time.Time
}

func (b *tokenBucket) refill(now time.Time) {
	shared, reserved := b.rate*(1-reserveShare), b.rate*reserveShare
	burst := burstDuration.Seconds()
	if b.last.IsZero() {
		b.tokens, b.reserve = shared*burst, reserved*burst
	} else if d := now.Sub(b.last).Seconds(); d > 0 {
		b.tokens = min(b.tokens+shared*d, shared*burst)
		b.reserve = min(b.reserve+reserved*d, reserved*burst)
	}
	b.last = now
}

// forceSpend spends tokens for a message that is sent even without budget; the debt is limited to one burst.
func (b *tokenBucket) forceSpend(n int) {
	b.tokens = max(b.tokens-float64(n), -b.rate*burstDuration.Seconds())
}

// spend spends tokens for queued records and repairs, from the reserve once the shared tokens are used up.
func (b *tokenBucket) spend(n int) {
	if b.tokens > 0 {
		b.tokens -= float64(n)
		return
	}
	b.reserve -= float64(n)
}

func (b *tokenBucket) isEmpty() bool { return b.tokens <= 0 && b.reserve <= 0 }

// untilFilled returns how long it takes until the next queued record may be sent.
func (b *tokenBucket) untilFilled() time.Duration {
	if !b.isEmpty() || b.rate <= 0 {
		return 0
	}
	seconds := min((1-b.tokens)/(b.rate*(1-reserveShare)), (1-b.reserve)/(b.rate*reserveShare))
	return time.Duration(seconds*float64(time.Second)) + time.Millisecond
}

// queue holds record IDs by destination: records for one destination share a datagram, and a record that changes
// again while it is queued is sent once.
type queue struct {
	order   []netip.AddrPort
	ids     map[netip.AddrPort][]queued
	waiting int
}

type queued struct {
	id      board.ID
	relayed bool
}

// add queues a record and reports whether there was room.
func (q *queue) add(to netip.AddrPort, e queued) bool {
	ids := q.ids[to]
	for _, have := range ids {
		if have.id == e.id {
			return true
		}
	}
	if q.waiting >= maxQueuedRecords {
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

// next returns the destination at the front and its records.
func (q *queue) next() (netip.AddrPort, []queued, bool) {
	if len(q.order) == 0 {
		return netip.AddrPort{}, nil, false
	}
	return q.order[0], q.ids[q.order[0]], true
}

// advance removes the first n records of the destination at the front, which moves to the back if it has more.
func (q *queue) advance(n int) {
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

// flush sends queued records in order of priority until the budget is used up.
func (n *Node) flush() {
	for p := range priorityCount {
		q := &n.queues[p]
		for !n.budget.isEmpty() {
			to, es, ok := q.next()
			if !ok {
				break
			}
			q.advance(n.sendRecords(to, es))
		}
	}
}

// sendRecords sends as many records as fit into one datagram and returns how many it has processed. Records that are
// too large for any datagram are listed in a Notice.
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
		n.budget.spend(n.emitSend(to, push))
	}
	if len(large) > 0 {
		n.budget.spend(n.emitSend(to, Notice{Items: large}))
	}
	return count
}

// emitSend emits a Send action and returns the size of the datagram.
func (n *Node) emitSend(to netip.AddrPort, m Message) int {
	if !to.IsValid() || to == n.cfg.Address {
		return 0
	}
	payload, err := Encode(m)
	if err != nil {
		n.trace(ReasonInvalid, board.ID{}, board.Version{})
		return 0
	}
	n.emit(Send{To: to, Message: m, Payload: payload})
	return len(payload) + datagramOverhead
}

// send sends a message that cannot wait, such as a heartbeat.
func (n *Node) send(to netip.AddrPort, m Message) { n.budget.forceSpend(n.emitSend(to, m)) }

// sendIfBudgetLeft sends a message only within the budget; a later digest makes up for one that is skipped.
func (n *Node) sendIfBudgetLeft(to netip.AddrPort, m Message) {
	if n.budget.isEmpty() {
		n.trace(ReasonOverBudget, board.ID{}, board.Version{})
		return
	}
	n.budget.spend(n.emitSend(to, m))
}

// enqueue queues a record for a destination.
func (n *Node) enqueue(to netip.AddrPort, id board.ID, relayed bool) {
	if !to.IsValid() || to == n.cfg.Address {
		return
	}
	if !n.queues[priorityOf(id.Kind)].add(to, queued{id: id, relayed: relayed}) {
		n.trace(ReasonQueueFull, id, board.Version{})
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
