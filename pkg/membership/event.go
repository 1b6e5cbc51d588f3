// Package membership is the control core of a process: it spreads configuration and member records,
// judges which members are alive and decides which balancer reads the store for its zone.
//
// A Node does no I/O and reads no clock: events come in with the time, actions come out.
package membership

import (
	"net/netip"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// Event is something that happened: Tick, Received, SetMember, SendLoad, Pulled, LeaseAnswer, RenewAnswer,
// StoreRead or PeerBehind.
type Event interface{ event() }

// Tick says that the time that Node.Next returned has come.
type Tick struct{}

// Received is an authentic control message.
type Received struct {
	From    netip.AddrPort
	Message Message
}

// SetMember states the own member record: board.Agent or board.Balancer.
type SetMember struct{ Value board.Value }

// SendLoad asks to tell the own load to co-members.
type SendLoad struct{ Load Load }

// PullResult is the answer to a Pull action.
type PullResult struct {
	From    netip.AddrPort
	Request PullRequest
	Records []board.Record
	// Complete is true when the answering process had itself caught up.
	Complete bool
	Err      error
}

// LeaseAnswer is the answer to AcquireLease; Fencing is the store revision of the lease's key.
type LeaseAnswer struct {
	Fencing store.Revision
	Err     error
}

// RenewAnswer is the answer to RenewLease; store.ErrNotFound means that the lease has lapsed.
type RenewAnswer struct{ Err error }

// StoreRead is the answer to ReadStore: the records that could be decoded, and the revision up to which they reach.
type StoreRead struct {
	Records  []board.Record
	Revision store.Revision
	Err      error
}

func (Tick) event()        {}
func (Received) event()    {}
func (SetMember) event()   {}
func (SendLoad) event()    {}
func (PullResult) event()  {}
func (LeaseAnswer) event() {}
func (RenewAnswer) event() {}
func (StoreRead) event()   {}

// Action is something to do: Send, Pull, AcquireLease, RenewLease, ReleaseLease, ReadStore, StopReading, DeliverLoad or Note.
type Action interface{ action() }

// Send sends a control datagram; Payload is the encoded Message.
type Send struct {
	To      netip.AddrPort
	Message Message
	Payload []byte
}

// Pull asks a balancer for records over net/rpc.
type Pull struct {
	To      netip.AddrPort
	Request PullRequest
}

// AcquireLease asks the store for the relay lease of the zone.
type AcquireLease struct{}

// RenewLease extends the relay lease.
type RenewLease struct{}

// ReleaseLease ends the relay lease.
type ReleaseLease struct{}

// ReadStore lists the configuration when After is 0, and otherwise waits for changes after that revision.
type ReadStore struct{ After store.Revision }

// StopReading ends a waiting ReadStore.
type StopReading struct{}

// DeliverLoad hands a co-member's load to the process.
type DeliverLoad struct {
	Agent string
	Load  Load
}

// Note reports a decision with its reason, for counters and records of a session.
type Note struct {
	Reason  Reason
	ID      board.ID
	Version board.Version
}

func (Send) action()         {}
func (Pull) action()         {}
func (AcquireLease) action() {}
func (RenewLease) action()   {}
func (ReleaseLease) action() {}
func (ReadStore) action()    {}
func (StopReading) action()  {}
func (DeliverLoad) action()  {}
func (Note) action()         {}

// Reason names a decision; the text is the value of the reason label of the metric.
type Reason string

// Reasons of notes.
const (
	ReasonTaken         Reason = "taken"
	ReasonSuspected     Reason = "suspected_no_heartbeat"
	ReasonDead          Reason = "dead_no_refutation"
	ReasonWithheld      Reason = "verdict_withheld_member_heard"
	ReasonRefuted       Reason = "refuted"
	ReasonSuperseded    Reason = "superseded_by_newer_incarnation"
	ReasonZoneSilent    Reason = "zone_silent"
	ReasonZoneHeard     Reason = "zone_heard_again"
	ReasonBalancersDead Reason = "dead_balancers_of_zone_silent"
	ReasonPaused        Reason = "own_pause_no_verdicts"
	ReasonInvalid       Reason = "invalid_record"
	ReasonQueueFull     Reason = "queue_full"
	ReasonOverBudget    Reason = "repair_over_budget"
	ReasonOversized     Reason = "oversized_record_pulled"
	ReasonPullFailed    Reason = "pull_failed"
	ReasonIncomplete    Reason = "pulled_from_unsynchronised"
	ReasonSynchronised  Reason = "synchronised"
	ReasonForgotten     Reason = "tombstone_forgotten"
	ReasonRelayTaken    Reason = "relay_taken"
	ReasonRelayRefused  Reason = "relay_refused"
	ReasonRelayLost     Reason = "relay_lost"
	ReasonStoreFailed   Reason = "store_read_failed"
	ReasonRepaired      Reason = "repaired_by_digest"
)
