// Package board stores the versioned records of a process: its local state of configuration and members.
package board

import (
	"cmp"
	"fmt"
	"net/netip"

	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/flow"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// Kind is the kind of a record.
type Kind uint8

// Kinds of records, in the order of their priority when they are sent.
const (
	KindZone Kind = iota + 1
	KindContract
	KindBackend
	KindAgent
	KindBalancer
	KindRelay
	// KindZoneReachability is last because the numbers are part of the wire format; it has the priority of a zone state.
	KindZoneReachability
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case KindZone:
		return "zone"
	case KindContract:
		return "contract"
	case KindBackend:
		return "backend"
	case KindAgent:
		return "agent"
	case KindBalancer:
		return "balancer"
	case KindRelay:
		return "relay"
	case KindZoneReachability:
		return "silence" // Log lines and tools use this name.
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// Liveness is the state of a member as other processes see it, for a given epoch and sequence of its own record.
type Liveness uint8

// Liveness states; each overrides the ones before it at the same epoch and sequence.
const (
	Alive Liveness = iota
	Suspect
	Dead
)

// String returns the name of the liveness state.
func (l Liveness) String() string {
	switch l {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return fmt.Sprintf("liveness(%d)", uint8(l))
}

// Version orders the states of one record: by epoch, then sequence, then liveness.
// Configuration has epoch 0 and the store revision as its sequence; a member has its incarnation as its epoch.
type Version struct {
	Epoch    uint64
	Seq      uint64
	Liveness Liveness
}

// Compare returns -1, 0 or +1 if v is lower than, equal to or higher than o.
func (v Version) Compare(o Version) int {
	return cmp.Or(
		cmp.Compare(v.Epoch, o.Epoch),
		cmp.Compare(v.Seq, o.Seq),
		cmp.Compare(v.Liveness, o.Liveness),
	)
}

// ID identifies a record.
type ID struct {
	Kind Kind
	Key  string
}

// Record is one versioned value.
type Record struct {
	ID      ID
	Version Version
	Value   Value
}

// Value is the content of a record: Contract, Zone, Backend, Agent, Balancer, Relay or ZoneReachability.
type Value interface{ kind() Kind }

// Contract is the contract of a customer service.
type Contract struct{ contract.Contract }

// Zone is the state of an availability zone as set by operators.
type Zone struct{ contract.Availability }

// Backend is the state of a backend server as set by operators; its key is the ID of its agent.
type Backend struct{ contract.Availability }

// Phase is the lifecycle phase that an agent announces.
type Phase uint8

// Phases of an agent.
const (
	PhaseCold Phase = iota + 1
	PhaseReady
	PhaseDraining
	PhaseLeft
)

// String returns the name of the phase.
func (p Phase) String() string {
	switch p {
	case PhaseCold:
		return "cold"
	case PhaseReady:
		return "ready"
	case PhaseDraining:
		return "draining"
	case PhaseLeft:
		return "left"
	}
	return fmt.Sprintf("phase(%d)", uint8(p))
}

// Agent is the member record of an agent and its backend server.
type Agent struct {
	Service string
	Zone    string
	Phase   Phase
	// DataAddress receives forwarded packets (UDP).
	DataAddress netip.AddrPort
	// ControlAddress receives control datagrams (UDP) and net/rpc (TCP).
	ControlAddress netip.AddrPort
}

// Balancer is the member record of a balancer.
type Balancer struct {
	Zone           string
	Leaving        bool
	DataAddress    netip.AddrPort
	ControlAddress netip.AddrPort
}

// Relay names the balancer that watches the store for a zone; its epoch is the fencing token of the lease.
type Relay struct {
	Balancer string
	// Applied is the store revision up to which the relay has read.
	Applied store.Revision
}

// ZoneReachability states whether all members of an availability zone count as dead. Its version has epoch 0, and an
// odd sequence means unreachable, so that two writers of one version always write the same value.
type ZoneReachability struct{ Unreachable bool }

// NewZoneReachability returns the reachability record of a zone at a sequence.
func NewZoneReachability(zone string, seq uint64) Record {
	return Record{ID: ID{Kind: KindZoneReachability, Key: zone}, Version: Version{Seq: seq}, Value: ZoneReachability{Unreachable: seq%2 == 1}}
}

func (Contract) kind() Kind         { return KindContract }
func (Zone) kind() Kind             { return KindZone }
func (Backend) kind() Kind          { return KindBackend }
func (Agent) kind() Kind            { return KindAgent }
func (Balancer) kind() Kind         { return KindBalancer }
func (Relay) kind() Kind            { return KindRelay }
func (ZoneReachability) kind() Kind { return KindZoneReachability }

// ShortID returns the short ID of the member in the record's key.
func (r Record) ShortID() flow.ShortID { return flow.ShortIDOf(r.ID.Key) }
