package control

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/membership"
)

// errBusy is returned when a process is overloaded and has not run the call.
const errBusy = errors.ConstError("busy")

const (
	// pullRate, in pulls per second, and pullBurst admit the pulls of a restarting rack a few at a time.
	pullRate  = 4
	pullBurst = 32
	// recordsPerToken is the number of records in a reply that count as one more pull: all 30,000 records of the design
	// size take some 180 ms of processor time, and are sent once in 8 s, or 2% of a core.
	recordsPerToken = 1000
	// maxConnections limits the TCP connections of other processes and operators.
	maxConnections = 256
	// loopTimeout limits how long a call waits for the goroutine that owns the core.
	loopTimeout = 5 * time.Second
)

// wirePull is the argument of Control.Pull.
type wirePull struct {
	_       struct{} `cbor:",toarray"`
	Member  []byte
	Service string
	Have    []wireItem
	Want    []uint64
}

// wirePullReply is the reply of Control.Pull.
type wirePullReply struct {
	_        struct{} `cbor:",toarray"`
	Records  [][]byte
	Complete bool
}

type wireItem struct {
	_                struct{} `cbor:",toarray"`
	Hash, Epoch, Seq uint64
	Liveness         uint8
}

// pull requests records from a balancer and posts the result.
func (p *Process) pull(ctx context.Context, a membership.Pull) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	result, err := p.callPull(ctx, a)
	if err != nil {
		p.cfg.Logger.Debug("cannot pull records", "from", a.To.String(), "error", err)
		result = membership.PullResult{From: a.To, Request: a.Request, Err: err}
	}
	p.post(result)
	return nil
}

func (p *Process) callPull(ctx context.Context, a membership.Pull) (membership.PullResult, error) {
	result := membership.PullResult{From: a.To, Request: a.Request}
	w := wirePull{Service: a.Request.Service, Want: a.Request.Want}
	if a.Request.Member.Value != nil {
		b, err := membership.EncodeRecord(a.Request.Member)
		if err != nil {
			return result, errors.Trace(err)
		}
		w.Member = b
	}
	for _, i := range a.Request.Have {
		w.Have = append(w.Have, wireItem{Hash: i.Hash, Epoch: i.Version.Epoch, Seq: i.Version.Seq, Liveness: uint8(i.Version.Liveness)})
	}
	args, err := cbor.Marshal(w)
	if err != nil {
		return result, errors.Trace(err)
	}
	var reply []byte
	if err := p.Call(ctx, a.To, "Control.Pull", args, &reply); err != nil {
		return result, errors.Trace(err)
	}
	var decoded wirePullReply
	if err := cbor.Unmarshal(reply, &decoded); err != nil {
		return result, errors.Trace(err)
	}
	result.Complete = decoded.Complete
	for _, b := range decoded.Records {
		r, err := membership.DecodeRecord(b)
		if err != nil {
			p.metrics.refused.WithLabelValues(errMalformed.Error()).Inc()
			continue
		}
		result.Records = append(result.Records, r)
	}
	return result, nil
}

// accept serves net/rpc on sealed connections.
func (p *Process) accept(ctx context.Context, g *rungroup.Group) error {
	slots := make(chan struct{}, maxConnections)
	for ctx.Err() == nil {
		c, err := p.tcp.Accept()
		if err != nil {
			p.metrics.refused.WithLabelValues("accept_error").Inc()
			time.Sleep(10 * time.Millisecond) // Out of file descriptors: wait, so that the loop doesn't spin.
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			p.metrics.refused.WithLabelValues(errBusy.Error()).Inc()
			c.Close()
			continue
		}
		g.Go(func(ctx context.Context) error {
			defer func() { <-slots }()
			p.serve(ctx, c)
			return nil
		})
	}
	return nil
}

func (p *Process) serve(ctx context.Context, c net.Conn) {
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	s, err := newSealedConn(c, p.cfg.SharedKey, false)
	if err == nil {
		p.rpc.ServeConn(s)
	}
	if err != nil || !s.authentic {
		p.metrics.refused.WithLabelValues(errUnauthentic.Error()).Inc()
	}
}

// service implements the net/rpc methods that every process has.
type service struct{ p *Process }

// Pull answers the pull of another process; arguments and reply are encoded in CBOR.
func (s *service) Pull(args []byte, reply *[]byte) error {
	if !s.p.pulls.Allow() {
		s.p.metrics.refused.WithLabelValues(errBusy.Error()).Inc()
		return errBusy
	}
	req, err := decodePull(args)
	if err != nil {
		s.p.metrics.refused.WithLabelValues(errMalformed.Error()).Inc()
		return errMalformed
	}
	ctx, cancel := context.WithTimeout(context.Background(), loopTimeout)
	defer cancel()
	if req.Member.Value != nil {
		s.p.post(membership.Received{Message: membership.Push{Records: []board.Record{req.Member}}})
	}
	var complete bool
	if err := s.p.runInLoop(ctx, func(n *membership.Node) { complete = n.Synchronised() }); err != nil {
		return err
	}
	records := membership.Snapshot(s.p.cfg.Board, req)
	// The reply is already computed, so a large one delays later pulls instead of this one.
	s.p.pulls.ReserveN(time.Now(), min(len(records)/recordsPerToken, pullBurst))
	encoded := make([][]byte, 0, len(records))
	for _, r := range records {
		b, err := membership.EncodeRecord(r)
		if err != nil {
			return err
		}
		encoded = append(encoded, b)
	}
	*reply, err = cbor.Marshal(wirePullReply{Records: encoded, Complete: complete})
	return err
}

func decodePull(b []byte) (membership.PullRequest, error) {
	var w wirePull
	if err := cbor.Unmarshal(b, &w); err != nil {
		return membership.PullRequest{}, errors.Trace(err)
	}
	req := membership.PullRequest{Service: w.Service, Want: w.Want}
	if len(w.Member) > 0 {
		r, err := membership.DecodeRecord(w.Member)
		if err != nil {
			return membership.PullRequest{}, err
		}
		req.Member = r
	}
	for _, i := range w.Have {
		v := board.Version{Epoch: i.Epoch, Seq: i.Seq, Liveness: board.Liveness(i.Liveness)}
		req.Have = append(req.Have, membership.Item{Hash: i.Hash, Version: v})
	}
	return req, nil
}

// StatusArgs is the argument of Control.Status. RefusalsOnly omits members and records, which take some megabytes per
// balancer at the design size.
type StatusArgs struct {
	RefusalsOnly bool
}

// StatusReply is the status of a process as shown to operators.
type StatusReply struct {
	ID           string
	Kind         string
	Zone         string
	Service      string
	Incarnation  uint64
	Synchronised bool
	// Relay is true when the process reads the store for its zone.
	Relay   bool
	Members []MemberStatus
	Records []RecordStatus
	// Refusals are the counters of the process with a reason label.
	Refusals []Counter
}

// MemberStatus is the record of one balancer or agent.
type MemberStatus struct {
	ID      string
	Kind    string
	Zone    string
	Service string
	Phase   string
	// Verdict is the liveness of the member: alive, suspect or dead.
	Verdict     string
	Incarnation uint64
	Seq         uint64
	Data        string
	Control     string
}

// RecordStatus is the revision of a contract, the state of a zone or backend server, or the relay of a zone.
type RecordStatus struct {
	Kind     string
	Key      string
	Revision uint64
	Out      bool
	Author   string
	Reason   string
	// Holder is the balancer that holds the relay lease.
	Holder string
}

// Counter is the value of a counter for one reason.
type Counter struct {
	Name   string
	Reason string
	Value  float64
}

// AppliedArgs is the argument of Control.Applied. A Kind and Key, such as "zone" and "zone-a", limit the reply to that
// record; without a key it takes some 100 KB per balancer at the design size.
type AppliedArgs struct {
	Kind string
	Key  string
}

// AppliedReply holds the revisions applied by a balancer and by the agents whose home balancer it is.
type AppliedReply struct {
	ID      string
	Records []RecordStatus
	Agents  []AgentApplied
}

// AgentApplied is the configuration that an agent has applied.
type AgentApplied struct {
	ID      string
	Service string
	// Contract is the revision of the contract that the agent applies.
	Contract uint64
	// InStep is true when the agent holds the same zone and backend states and the same contract as the balancer.
	InStep bool
}

// Status returns the status of the process.
func (s *service) Status(args StatusArgs, reply *StatusReply) error {
	cfg := &s.p.cfg
	*reply = StatusReply{
		ID: cfg.ID, Kind: board.KindBalancer.String(), Zone: cfg.Zone, Service: cfg.Service, Incarnation: cfg.Incarnation,
		Synchronised: s.p.Synchronised(), Relay: s.p.isRelay.Load(),
		Refusals: refusals(cfg.Registerer),
	}
	if cfg.Service != "" {
		reply.Kind = board.KindAgent.String()
	}
	if args.RefusalsOnly {
		return nil
	}
	reply.Records = configStatus(cfg.Board)
	for _, r := range cfg.Board.Records(board.KindBalancer, board.KindAgent) {
		m := memberStatus(r)
		// Operators count the servers in service by this field.
		if cfg.Board.ZoneUnreachable(m.Zone) {
			m.Verdict = board.Dead.String()
		}
		reply.Members = append(reply.Members, m)
	}
	return nil
}

// Applied returns the revisions in force in this process and at the agents whose home balancer it is.
func (s *service) Applied(args AppliedArgs, reply *AppliedReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), loopTimeout)
	defer cancel()
	var agents []membership.AgentState
	if err := s.p.runInLoop(ctx, func(n *membership.Node) { agents = n.Agents() }); err != nil {
		return err
	}
	*reply = AppliedReply{ID: s.p.cfg.ID, Records: configStatus(s.p.cfg.Board)}
	if args.Key != "" {
		reply.Records = slices.DeleteFunc(reply.Records, func(r RecordStatus) bool { return r.Kind != args.Kind || r.Key != args.Key })
	}
	for _, a := range agents {
		r, _ := s.p.cfg.Board.Get(board.ID{Kind: board.KindAgent, Key: a.ID})
		v, _ := r.Value.(board.Agent)
		reply.Agents = append(reply.Agents, AgentApplied{ID: a.ID, Service: v.Service, Contract: a.Contract, InStep: a.InSync})
	}
	return nil
}

func configStatus(b *board.Board) []RecordStatus {
	records := b.Records(board.KindZone, board.KindContract, board.KindBackend, board.KindRelay)
	out := make([]RecordStatus, 0, len(records))
	for _, r := range records {
		s := RecordStatus{Kind: r.ID.Kind.String(), Key: r.ID.Key, Revision: r.Version.Seq}
		switch v := r.Value.(type) {
		case board.Zone:
			s.Out, s.Author, s.Reason = v.Out(), v.Author(), v.Reason()
		case board.Backend:
			s.Out, s.Author, s.Reason = v.Out(), v.Author(), v.Reason()
		case board.Relay:
			s.Holder = v.Balancer
		}
		out = append(out, s)
	}
	return out
}

func memberStatus(r board.Record) MemberStatus {
	m := MemberStatus{
		ID: r.ID.Key, Kind: r.ID.Kind.String(), Verdict: r.Version.Liveness.String(),
		Incarnation: r.Version.Epoch, Seq: r.Version.Seq,
	}
	switch v := r.Value.(type) {
	case board.Agent:
		m.Zone, m.Service, m.Phase = v.Zone, v.Service, v.Phase.String()
		m.Data, m.Control = addrText(v.DataAddress), addrText(v.ControlAddress)
	case board.Balancer:
		m.Zone, m.Phase = v.Zone, "serving"
		if v.Leaving {
			m.Phase = "leaving"
		}
		m.Data, m.Control = addrText(v.DataAddress), addrText(v.ControlAddress)
	}
	return m
}

func addrText(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// refusals reads the counters with a reason label from the registry of the process.
func refusals(r prometheus.Registerer) []Counter {
	g, ok := r.(prometheus.Gatherer)
	if !ok {
		return nil
	}
	families, err := g.Gather()
	if err != nil {
		return nil
	}
	var out []Counter
	for _, f := range families {
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetName() == "reason" && m.GetCounter() != nil {
					out = append(out, Counter{Name: f.GetName(), Reason: l.GetValue(), Value: m.GetCounter().GetValue()})
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b Counter) int { return strings.Compare(a.Name+a.Reason, b.Name+b.Reason) })
	return out
}
