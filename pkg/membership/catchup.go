package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bramleymast/bramleymast/pkg/board"
)

const (
	// minPullBackoff and maxPullBackoff limit the wait after a failed pull.
	// The wait is random, so that the processes of a rack that restarts don't retry at the same moment.
	minPullBackoff = 250 * time.Millisecond
	maxPullBackoff = 10 * time.Second
	// pullTimeout is how long a pull may stay unanswered before the next target is tried.
	pullTimeout = 10 * time.Second
	// isolatedPullInterval is the maximum time until a process without live peers, or without acks, pulls again.
	isolatedPullInterval = 10 * time.Second
	// missedAcksForIsolation is the number of heartbeats without any ack after which an agent pulls again.
	missedAcksForIsolation = 10
)

// catchUp is the progress of the initial synchronisation of a process.
type catchUp struct {
	done bool
	// next is when the next pull is due; zero if none is scheduled.
	next     time.Time
	failures int
	// targets holds the addresses that the current round of pulls has not tried yet.
	targets []netip.AddrPort
}

// pull requests the state from one seed or peer; repeated pulls go through all of them in random order.
func (n *Node) pull() {
	c := &n.catchUp
	if len(c.targets) == 0 {
		c.targets = n.pullTargets()
	}
	if len(c.targets) == 0 {
		c.failures++
		c.next = n.now.Add(n.jitter(isolatedPullInterval))
		return
	}
	to := c.targets[0]
	c.targets = c.targets[1:]
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

func (n *Node) handlePullResult(e PullResult) {
	if e.Err != nil {
		n.trace(ReasonPullFailed, board.ID{}, board.Version{})
		n.schedulePullRetry()
		return
	}
	for _, r := range e.Records {
		if len(e.Request.Want) > 0 || r.ID == n.self {
			n.apply(r, e.From, true)
			continue
		}
		n.merge(r)
	}
	if len(e.Request.Want) > 0 {
		return
	}
	if !e.Complete && !n.catchUp.done {
		// After a restart of the whole system, the board of every peer may be empty too.
		n.trace(ReasonIncomplete, board.ID{}, board.Version{})
		n.schedulePullRetry()
		return
	}
	n.markSynchronised()
	n.catchUp.next = time.Time{}
	n.liveness.lastAckAt = n.now // The first isolation check runs before the first ack arrives.
	if own, ok := n.board.Get(n.self); ok && n.hasOwnRecord {
		n.announce(own)
	}
}

func (n *Node) schedulePullRetry() {
	c := &n.catchUp
	if c.next.IsZero() {
		return
	}
	c.failures++
	c.next = n.now.Add(n.jitter(min(minPullBackoff<<min(c.failures, 6), maxPullBackoff)))
}

func (n *Node) markSynchronised() {
	n.catchUp.failures = 0
	if !n.catchUp.done {
		n.catchUp.done = true
		n.trace(ReasonSynchronised, n.self, board.Version{})
	}
}

// advancePull brings the next pull forward when an unsynchronised process receives the record of a balancer.
func (n *Node) advancePull() {
	c := &n.catchUp
	soon := n.now.Add(minPullBackoff)
	if c.done || len(c.targets) > 0 || !c.next.After(soon) {
		return
	}
	c.next = n.now.Add(n.jitter(minPullBackoff))
}

// checkIsolation schedules a pull when no home balancer answers an agent, or when a balancer has no live peer.
func (n *Node) checkIsolation() {
	c := &n.catchUp
	if !c.next.IsZero() {
		return
	}
	noPeers := !n.isAgent() && n.peers.count(n) == 0
	isolated := n.isAgent() && n.now.Sub(n.liveness.lastAckAt) > n.heartbeats(missedAcksForIsolation)
	if noPeers || isolated {
		c.next = n.now.Add(n.jitter(isolatedPullInterval))
	}
}
