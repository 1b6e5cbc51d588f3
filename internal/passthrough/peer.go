package passthrough

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
	"github.com/bramleymast/bramleymast/pkg/store"
)

const (
	// fetchTimeout bounds a call to another process; a healthy one answers within a round trip.
	fetchTimeout = time.Second
	// fetchInterval bounds how often a process asks others for what it lacks.
	fetchInterval = 100 * time.Millisecond
	// seedDelay is how long a process that starts waits for the store before it asks other processes.
	seedDelay = 100 * time.Millisecond
	// seedInterval is the pause between two rounds of asking.
	seedInterval = 100 * time.Millisecond
	// seedUpdateInterval is the pause once the process serves without the store.
	seedUpdateInterval = 500 * time.Millisecond
)

// EntryState is an entry of the store as a process knows it.
type EntryState struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// StateArgs asks for the entries of the store that a process knows. Types of net/rpc must be exported.
type StateArgs struct {
	// Agents asks for the agents' entries too.
	Agents bool
}

// StateReply holds entries of the store.
type StateReply struct {
	Entries []EntryState
	// Observed are the routes that the process has heard of while it has no configuration.
	Observed []passthrough.ObservedRoute
}

// peerService answers the calls of other processes.
type peerService struct{ blackboard *blackboard }

// State returns the entries that the process knows.
func (s *peerService) State(args StateArgs, reply *StateReply) error {
	reply.Entries = s.blackboard.entries(args.Agents)
	if s.blackboard.Table() == nil {
		reply.Observed = s.blackboard.observed.Routes()
	}
	return nil
}

// peerName is the name of the service in net/rpc.
const peerName = "Peer"

// servePeers answers calls until the context ends.
func servePeers(ctx context.Context, l net.Listener, b *blackboard) error {
	server := rpc.NewServer()
	if err := server.RegisterName(peerName, &peerService{blackboard: b}); err != nil {
		return errors.Trace(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Trace(err)
		}
		// One call a connection: a connection that went silent holds nothing up.
		_ = conn.SetDeadline(time.Now().Add(fetchTimeout))
		go server.ServeConn(conn)
	}
}

// fetchState asks a process for what it knows.
func fetchState(ctx context.Context, from netip.AddrPort, agents bool) (StateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp4", from.String())
	if err != nil {
		return StateReply{}, errors.Annotatef(err, "cannot reach %s", from)
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	client := rpc.NewClient(conn)
	defer func() { _ = client.Close() }() // The answer is complete, or the error is reported already.
	var reply StateReply
	if err := client.Call(peerName+".State", StateArgs{Agents: agents}, &reply); err != nil {
		return StateReply{}, errors.Annotatef(err, "cannot ask %s", from)
	}
	return reply, nil
}

// catchUp asks other processes for entries that the store does not deliver to this process.
type catchUp struct {
	metrics    *metrics
	blackboard *blackboard
	agents     bool
	logger     hclog.Logger
	due        chan netip.AddrPort
}

func newCatchUp(b *blackboard, agents bool, logger hclog.Logger) *catchUp {
	return &catchUp{blackboard: b, agents: agents, logger: logger, due: make(chan netip.AddrPort, 1)}
}

// heard notes the operator's revision that another process knows.
func (c *catchUp) heard(from netip.AddrPort, revision uint64) {
	if revision <= c.blackboard.operatorRevision() {
		return
	}
	select {
	case c.due <- from:
	default: // A fetch is already due.
	}
}

// run fetches until the context ends.
func (c *catchUp) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case from := <-c.due:
			c.fetch(ctx, from)
		}
		wait(ctx, fetchInterval)
	}
}

func (c *catchUp) fetch(ctx context.Context, from netip.AddrPort) bool {
	reply, err := fetchState(ctx, from, c.agents)
	if err != nil {
		c.metrics.fetches.WithLabelValues("failed").Inc()
		c.logger.Warn("state not fetched", "from", from, "error", err)
		return false
	}
	c.metrics.fetches.WithLabelValues("done").Inc()
	c.logger.Info("state fetched", "from", from, "entries", len(reply.Entries), "observed", len(reply.Observed))
	for _, r := range reply.Observed {
		c.blackboard.noteObserved(r, from)
	}
	for _, e := range reply.Entries {
		c.blackboard.apply(store.Entry{Key: e.Key, Value: e.Value, Revision: store.Revision(e.Revision), Deleted: e.Deleted})
	}
	c.blackboard.changed()
	return len(reply.Entries) > 0
}

// start asks the seeds while the store does not answer; listed ends when the store has told all. It calls known when
// the process can serve by what others know, and goes on for what they hear later. Once the store has answered, it asks
// one seed for agents whose entries have lapsed.
func (c *catchUp) start(ctx context.Context, seeds []netip.AddrPort, listed <-chan struct{}, known func()) error {
	for delay := seedDelay; ; {
		t := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-listed:
			t.Stop()
			c.fetchAny(ctx, seeds)
			return nil
		case <-t.C:
		}
		c.fetchAny(ctx, seeds)
		delay = seedInterval
		if c.blackboard.complete() {
			known()
			delay = seedUpdateInterval
		}
	}
}

// fetchAny fetches from the first seed that knows something.
func (c *catchUp) fetchAny(ctx context.Context, seeds []netip.AddrPort) {
	for _, s := range seeds {
		if c.fetch(ctx, s) {
			return
		}
	}
}

// entries returns what the process knows of the operator's entries and, if asked, of the agents'.
func (b *blackboard) entries(agents bool) []EntryState {
	var all []EntryState
	b.mu.Lock()
	if t := b.table.Load(); t != nil {
		all = append(all, EntryState{Key: b.layout.ConfigKey, Value: b.config, Revision: t.Revision()})
	}
	b.mu.Unlock()
	for _, r := range b.board.Records(board.KindZone) {
		if z, ok := r.Value.(board.Zone); ok {
			all = append(all, EntryState{Key: b.layout.ZonesOutPrefix + r.ID.Key, Revision: r.Version.Seq, Deleted: !z.Out()})
		}
	}
	if !agents {
		return all
	}
	for _, r := range b.board.Records(board.KindAgent) {
		a, ok := r.Value.(board.Agent)
		if !ok {
			continue
		}
		e := agentEntry{Service: a.Service, Zone: a.Zone, Address: a.DataAddress, Draining: a.Phase == board.PhaseDraining}
		all = append(all, EntryState{Key: agentsPrefix + r.ID.Key, Value: e.encode(), Revision: r.Version.Seq, Deleted: a.Phase == board.PhaseLeft})
	}
	return all
}
