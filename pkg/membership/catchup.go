package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bramleymast/bramleymast/pkg/board"
)

const (
	// firstPullWait and maxPullWait bound the wait after a refused pull.
	// The wait is random, so that the processes of a rack that returns do not ask together.
	firstPullWait = 250 * time.Millisecond
	maxPullWait   = 10 * time.Second
	// pullTimeout is how long a pull may stay without an answer.
	pullTimeout = 10 * time.Second
	// lonelyWait is the time between pulls of a balancer that knows no live peer.
	lonelyWait = 10 * time.Second
	// missedForIsolation is the number of heartbeats without any answer after which a member pulls again.
	missedForIsolation = 10
)

// catchUp is how a new process obtains its first state.
type catchUp struct {
	done     bool
	next     time.Time
	failures int
	order    []netip.AddrPort
}

// pull asks one seed or peer for the state; it goes through all of them in a random order.
func (n *Node) pull() {
	c := &n.catchUp
	if len(c.order) == 0 {
		c.order = n.pullTargets()
	}
	if len(c.order) == 0 {
		c.failures++
		c.next = n.now.Add(n.jitter(lonelyWait))
		return
	}
	to := c.order[0]
	c.order = c.order[1:]
	c.next = n.now.Add(pullTimeout)
	req := PullRequest{Service: n.cfg.Service}
	if own, ok := n.board.Get(n.self); ok {
		req.Member = own
	}
	n.emit(Pull{To: to, Request: req})
}

func (n *Node) pullTargets() []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range n.cfg.Seeds {
		if a != n.cfg.Address && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	for _, p := range n.peers.sample(n, n.cfg.Zone, fanout, netip.AddrPort{}) {
		if !slices.Contains(out, p.control) {
			out = append(out, p.control)
		}
	}
	n.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (n *Node) pulled(e PullResult) {
	if e.Err != nil {
		n.note(ReasonPullFailed, board.ID{}, board.Version{})
		n.pullFailed()
		return
	}
	for _, r := range e.Records {
		if len(e.Request.Want) > 0 || r.ID == n.self {
			n.take(r, e.From, true)
			continue
		}
		n.merge(r)
	}
	if len(e.Request.Want) > 0 {
		return
	}
	if !e.Complete && !n.catchUp.done {
		// After a restart of the whole system every peer is as empty as this process.
		n.note(ReasonIncomplete, board.ID{}, board.Version{})
		n.pullFailed()
		return
	}
	n.synchronised()
	n.catchUp.next = time.Time{}
	n.liveness.lastAck = n.now // The first ack comes later than the first check for isolation.
	if own, ok := n.board.Get(n.self); ok && n.stated {
		n.announce(own)
	}
}

func (n *Node) pullFailed() {
	c := &n.catchUp
	if c.next.IsZero() {
		return
	}
	c.failures++
	c.next = n.now.Add(n.jitter(min(firstPullWait<<min(c.failures, 6), maxPullWait)))
}

func (n *Node) synchronised() {
	n.catchUp.failures = 0
	if !n.catchUp.done {
		n.catchUp.done = true
		n.note(ReasonSynchronised, n.self, board.Version{})
	}
}

// pullSoon brings the next pull forward when a process that has not caught up hears of a balancer.
func (n *Node) pullSoon() {
	c := &n.catchUp
	soon := n.now.Add(firstPullWait)
	if c.done || len(c.order) > 0 || !c.next.After(soon) {
		return
	}
	c.next = n.now.Add(n.jitter(firstPullWait))
}

// checkIsolation starts to pull again when nobody answers any more, or when a balancer knows no peer.
func (n *Node) checkIsolation() {
	c := &n.catchUp
	if !c.next.IsZero() {
		return
	}
	lonely := !n.isAgent() && n.peers.count(n) == 0
	isolated := n.isAgent() && n.now.Sub(n.liveness.lastAck) > n.beats(missedForIsolation)
	if lonely || isolated {
		c.next = n.now.Add(n.jitter(lonelyWait))
	}
}
