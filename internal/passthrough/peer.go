package passthrough

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/redial"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
	"github.com/bramleymast/bramleymast/pkg/store"
)

const (
	// fetchTimeout limits a call to another process; a healthy process answers within a round trip.
	fetchTimeout = time.Second
	// peerConnectTimeout limits how long a call waits for a connection, so that a host that is down or cut off does not
	// keep the caller from asking another one.
	peerConnectTimeout = 300 * time.Millisecond
	// fetchInterval is the minimum interval between fetches of missing state from other processes.
	fetchInterval = 100 * time.Millisecond
	// seedDelay is how long a starting process waits for the store before it queries the seeds.
	seedDelay = 100 * time.Millisecond
	// partialStateTimeout is how long a starting process without the store waits for agents of all services. Agents
	// announce themselves to the seeds every 400 ms.
	partialStateTimeout = time.Second
	// seedInterval is the interval between queries of the seeds.
	seedInterval = 100 * time.Millisecond
	// seedUpdateInterval is the interval between queries of the seeds once the process serves without the store.
	seedUpdateInterval = 500 * time.Millisecond
)

// EntryState is a store entry in the local state of a process.
type EntryState struct {
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
	// Unlisted means that the store no longer has the entry, or never had it, and the agent is kept while it answers.
	Unlisted bool
	// Compressed means that Value is compressed with gzip.
	Compressed bool
	// version is that of a configuration. It is not sent.
	version uint64
}

// StateArgs requests the store entries in the local state of a process. Types of net/rpc must be exported.
type StateArgs struct {
	// Agents requests the agent entries too.
	Agents bool
	// Compressed means that the caller decompresses entries, and Known is the revision of its configuration, which is not
	// sent again if its version is KnownVersion.
	Compressed   bool
	Known        uint64
	KnownVersion uint64
}

// StateReply holds store entries.
type StateReply struct {
	Entries []EntryState
	// OperatorAt is the store revision up to which the process holds all changes of the operator's entries, or 0.
	OperatorAt uint64
	// SettledEra is the last era of the store in which the process knows which entries of earlier eras are gone.
	SettledEra uint64
	// Observed are the observed routes of a process without a configuration.
	Observed []passthrough.ObservedRoute
}

// fetchedEntry is an entry that another process has returned; see EntryState.
type fetchedEntry struct {
	store.Entry
	unlisted bool
}

// peerService serves the calls of other processes.
type peerService struct{ state *localState }

// State returns the store entries in the local state of the process.
func (s *peerService) State(args StateArgs, reply *StateReply) error {
	c := s.state.operatorCoverage() // Before the entries, which may be newer.
	reply.OperatorAt, reply.SettledEra = c.at, c.settledEra
	reply.Entries = s.state.entries(args.Agents)
	for i := range reply.Entries {
		if e := &reply.Entries[i]; args.Compressed && e.Key == s.state.layout.ConfigKey {
			s.state.compressed.shrink(e, args)
		}
	}
	if s.state.Table() == nil {
		reply.Observed = s.state.observed.Routes()
	}
	return nil
}

// peerName is the service name in net/rpc.
const peerName = "Peer"

// servePeers serves calls until the context ends.
func servePeers(ctx context.Context, l net.Listener, s *localState) error {
	server := rpc.NewServer()
	if err := server.RegisterName(peerName, &peerService{state: s}); err != nil {
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
		// Each connection carries one call, so a stalled connection blocks no other call.
		_ = conn.SetDeadline(time.Now().Add(fetchTimeout))
		go server.ServeConn(conn)
	}
}

// fetchState fetches the local state of another process.
func fetchState(ctx context.Context, from netip.AddrPort, args StateArgs) (StateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	dialer := redial.Dialer{Timeout: peerConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", from.String())
	if err != nil {
		return StateReply{}, errors.Annotatef(err, "cannot reach %s", from)
	}
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	client := rpc.NewClient(conn)
	defer func() { _ = client.Close() }() // The reply is complete, or an error has been returned.
	var reply StateReply
	if err := client.Call(peerName+".State", args, &reply); err != nil {
		return StateReply{}, errors.Annotatef(err, "cannot fetch state from %s", from)
	}
	return reply, nil
}

// stateFetcher fetches entries from other processes that the store has not delivered to this process.
type stateFetcher struct {
	metrics *metrics
	state   *localState
	agents  bool // fetch agent entries too
	// applied is called after the state that another process has returned was applied; nil does nothing.
	applied func()
	logger  hclog.Logger
	due     chan netip.AddrPort // the process to fetch from next
}

func newStateFetcher(s *localState, agents bool, logger hclog.Logger) *stateFetcher {
	return &stateFetcher{state: s, agents: agents, logger: logger, due: make(chan netip.AddrPort, 1)}
}

// onVersion makes a fetch from another process due if its version shows that it may hold a change that this one lacks.
func (f *stateFetcher) onVersion(from netip.AddrPort, v operatorVersion) {
	own := f.state.operatorVersion()
	if v.revision < own.revision || v.revision == own.revision && (v.digest == 0 || v.digest == own.digest) {
		return
	}
	select {
	case f.due <- from:
	default: // A fetch is already due.
	}
}

// run fetches until the context ends.
func (f *stateFetcher) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case from := <-f.due:
			f.fetch(ctx, from)
		}
		wait(ctx, fetchInterval)
	}
}

func (f *stateFetcher) args() StateArgs {
	t := f.state.Table()
	return StateArgs{Agents: f.agents, Compressed: true, Known: t.Revision(), KnownVersion: t.Version()}
}

func (f *stateFetcher) fetch(ctx context.Context, from netip.AddrPort) bool {
	reply, err := fetchState(ctx, from, f.args())
	if err != nil {
		f.metrics.fetches.WithLabelValues("failed").Inc()
		f.logger.Warn("state not fetched", "from", from, "error", err)
		return false
	}
	f.metrics.fetches.WithLabelValues("done").Inc()
	f.logger.Info("state fetched", "from", from, "entries", len(reply.Entries), "observed", len(reply.Observed))
	f.applyReply(reply, from)
	return len(reply.Entries) > 0
}

// applyReply applies the state that another process has returned.
func (f *stateFetcher) applyReply(reply StateReply, from netip.AddrPort) {
	for _, r := range reply.Observed {
		f.state.addObservedRoute(r, from)
	}
	entries := make([]fetchedEntry, 0, len(reply.Entries))
	for _, e := range reply.Entries {
		value, err := e.decompress()
		if err != nil {
			f.logger.Warn("entry skipped", "from", from, "error", err)
			continue
		}
		entry := store.Entry{Key: e.Key, Value: value, Revision: store.Revision(e.Revision), Deleted: e.Deleted}
		entries = append(entries, fetchedEntry{Entry: entry, unlisted: e.Unlisted})
	}
	f.state.applyFetched(entries, coverage{at: reply.OperatorAt, settledEra: reply.SettledEra})
	f.state.changed()
	if f.applied != nil {
		f.applied()
	}
}

// fetchFromSeeds fetches from the seeds until listed is closed, which means that the store has returned all entries. It
// calls ready when the fetched state suffices to serve, and continues to fetch updates. Once the store has answered, it
// fetches from one seed again for agents whose entries have expired.
func (f *stateFetcher) fetchFromSeeds(ctx context.Context, seeds []netip.AddrPort, listed <-chan struct{}, ready func()) error {
	var partialSince time.Time
	for delay := seedDelay; ; {
		t := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-listed:
			t.Stop()
			f.fetchAny(ctx, seeds)
			return nil
		case <-t.C:
		}
		f.fetchAny(ctx, seeds)
		delay = seedInterval
		c := f.state.completeness()
		if c != insufficient && partialSince.IsZero() {
			partialSince = time.Now()
		}
		if c == complete || c == partial && time.Since(partialSince) >= partialStateTimeout {
			ready()
			delay = seedUpdateInterval
		}
	}
}

// fetchAny fetches from the first seed that returns entries.
func (f *stateFetcher) fetchAny(ctx context.Context, seeds []netip.AddrPort) {
	for _, s := range seeds {
		if f.fetch(ctx, s) {
			return
		}
	}
}

// entries returns the operator's entries in the local state and, if agents is true, the agent entries.
func (s *localState) entries(agents bool) []EntryState {
	var all []EntryState
	s.mu.Lock()
	if t := s.table.Load(); t != nil {
		all = append(all, EntryState{Key: s.layout.ConfigKey, Value: s.config, Revision: t.Revision(), version: t.Version()})
	}
	s.mu.Unlock()
	for _, r := range s.board.Records(board.KindZone) {
		if z, ok := r.Value.(board.Zone); ok {
			all = append(all, EntryState{Key: s.layout.ZonesOutPrefix + r.ID.Key, Revision: r.Version.Seq, Deleted: !z.Out()})
		}
	}
	if !agents {
		return all
	}
	for _, r := range s.board.Records(board.KindAgent) {
		a, ok := r.Value.(board.Agent)
		if !ok {
			continue
		}
		e := agentEntry{Service: a.Service, Zone: a.Zone, Address: a.DataAddress, Draining: a.Phase == board.PhaseDraining}
		all = append(all, EntryState{Key: agentsPrefix + r.ID.Key, Value: e.encode(), Revision: r.Version.Seq, Deleted: a.Phase == board.PhaseLeft, Unlisted: r.Version.Liveness == board.Suspect})
	}
	return all
}
