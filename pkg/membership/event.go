// Package membership is the control core of a process: it gossips configuration and member records, detects failed
// members and elects the balancer that reads the store for its zone.
//
// A Node does no I/O and reads no clock: it takes events with a timestamp and returns actions.
package membership

import (
	"net/netip"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// Event is an input of a Node: Tick, Received, SetMember, SendLoad, PullResult, LeaseResult, RenewResult, ReadResult
// or PeerOutdated.
type Event interface{ event() }

// Tick reports that the time returned by Node.Next has been reached.
type Tick struct{}

// Received is an authenticated control message.
type Received struct {
	From    netip.AddrPort
	Message Message
}

// SetMember replaces the value of the local member record: a board.Agent or a board.Balancer.
type SetMember struct{ Value board.Value }

// SendLoad requests that the local load is reported to other agents of the service.
type SendLoad struct{ Load Load }

// PullResult is the result of a Pull action.
type PullResult struct {
	From    netip.AddrPort
	Request PullRequest
	Records []board.Record
	// Complete is true when the responding process was synchronised itself.
	Complete bool
	Err      error
}

// LeaseResult is the result of AcquireLease; Fencing is the fencing token, the store revision of the lease's key.
type LeaseResult struct {
	Fencing store.Revision
	Err     error
}

// RenewResult is the result of RenewLease; store.ErrNotFound means that the lease has expired.
type RenewResult struct{ Err error }

// ReadResult is the result of ReadStore: the records that could be decoded, and the revision up to which they reach.
type ReadResult struct {
	Records  []board.Record
	Revision store.Revision
	Err      error
}

func (Tick) event()        {}
func (Received) event()    {}
func (SetMember) event()   {}
func (SendLoad) event()    {}
func (PullResult) event()  {}
func (LeaseResult) event() {}
func (RenewResult) event() {}
func (ReadResult) event()  {}

// Action is an output of a Node: Send, Pull, AcquireLease, RenewLease, ReleaseLease, ReadStore, StopReading,
// DeliverLoad or Trace.
type Action interface{ action() }

// Send sends a control datagram; Payload is the encoded Message.
type Send struct {
	To      netip.AddrPort
	Message Message
	Payload []byte
}

// Pull requests records from a balancer over net/rpc.
type Pull struct {
	To      netip.AddrPort
	Request PullRequest
}

// AcquireLease requests the relay lease of the zone from the store.
type AcquireLease struct{}

// RenewLease extends the relay lease.
type RenewLease struct{}

// ReleaseLease revokes the relay lease.
type ReleaseLease struct{}

// ReadStore lists the configuration when After is 0, and otherwise waits for changes after that revision.
type ReadStore struct{ After store.Revision }

// StopReading cancels a pending ReadStore.
type StopReading struct{}

// DeliverLoad passes the load of another agent of the service to the process.
type DeliverLoad struct {
	Agent string
	Load  Load
}

// Trace reports a decision of the core and its reason, for metrics and logs.
type Trace struct {
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
func (Trace) action()        {}

// Reason is the kind of a decision; its text is the value of the metric's reason label.
type Reason string

// Reasons of traces.
const (
	ReasonApplied          Reason = "taken"
	ReasonSuspected        Reason = "suspected_no_heartbeat"
	ReasonDead             Reason = "dead_no_refutation"
	ReasonConfirmedAlive   Reason = "verdict_withheld_member_heard"
	ReasonRefuted          Reason = "refuted"
	ReasonSuperseded       Reason = "superseded_by_newer_incarnation"
	ReasonZoneUnreachable  Reason = "zone_silent"
	ReasonZoneReachable    Reason = "zone_heard_again"
	ReasonBalancersDead    Reason = "dead_balancers_of_zone_silent"
	ReasonPaused           Reason = "own_pause_no_verdicts"
	ReasonInvalid          Reason = "invalid_record"
	ReasonQueueFull        Reason = "queue_full"
	ReasonOverBudget       Reason = "repair_over_budget"
	ReasonOversized        Reason = "oversized_record_pulled"
	ReasonPullFailed       Reason = "pull_failed"
	ReasonIncomplete       Reason = "pulled_from_unsynchronised"
	ReasonSynchronised     Reason = "synchronised"
	ReasonTombstoneExpired Reason = "tombstone_forgotten"
	ReasonRelayAcquired    Reason = "relay_taken"
	ReasonRelayRefused     Reason = "relay_refused"
	ReasonRelayLost        Reason = "relay_lost"
	ReasonStoreFailed      Reason = "store_read_failed"
	ReasonRepaired         Reason = "repaired_by_digest"
)
