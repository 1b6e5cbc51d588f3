package membership

import (
	"github.com/bramleymast/bramleymast/pkg/board"
)

// Message is a control message: Heartbeat, Ack, Push, Notice, Digest, Versions, Want, LivenessQuery, LivenessReply or
// LoadReport.
type Message interface{ message() }

// Load is the current load of an agent.
type Load struct {
	InProgress uint32
	Flows      uint32
	Slots      uint32
}

// ScopeDigest is a digest of the records in an agent's scope; equal digests mean that both sides hold the same versions.
type ScopeDigest struct {
	// Config covers the contract of the service, zone states and states of the service's backend servers.
	Config uint64
	// Members covers the agents of the service, all balancers and the reachability of zones.
	Members uint64
}

// Heartbeat reports to a home balancer that a member is alive.
type Heartbeat struct {
	Member  board.ID
	Version board.Version
	// Contract is the revision of the contract that an agent applies.
	Contract uint64
	Scope    ScopeDigest
}

// Ack answers a Heartbeat.
type Ack struct {
	// InSync is true when the balancer holds exactly what the heartbeat states; the other fields are then empty.
	InSync bool
	// Known is the version of the member's record on the balancer's board. A member announces its record again when
	// Known is older or marks it as suspect or dead.
	Known board.Version
	Scope ScopeDigest
}

// Push carries records. Relayed is false when a member sends its own record, which the receiver then also pushes to
// the other zones.
type Push struct {
	Records []board.Record
	Relayed bool
}

// Notice lists the versions of records that are too large for a datagram.
type Notice struct{ Items []Item }

// Item is the version of one record, identified by the hash of its ID.
type Item struct {
	Hash    uint64
	Version board.Version
}

// Digest is the fixed-size digest of a board: of all records at Level 0, of one bucket at Level 1.
type Digest struct {
	Level   uint8
	Bucket  uint8
	Buckets BucketDigests
}

// Versions lists the sender's versions in those sub-buckets of a bucket whose bits are set in Mask.
type Versions struct {
	Bucket uint8
	Mask   uint64
	Items  []Item
}

// Want requests records by the hashes of their IDs.
type Want struct{ Hashes []uint64 }

// LivenessQuery requests the age of the last heartbeat received from a member. With the ID of a zone's reachability
// record, it requests the age of the last message from any balancer of the zone.
type LivenessQuery struct{ Member board.ID }

// LivenessReply states how many milliseconds ago the sender last received a message from a member or zone.
type LivenessReply struct {
	Member board.ID
	AgeMS  uint32
}

// LoadReport carries the load of an agent to another agent of the service.
type LoadReport struct {
	Agent string
	Load  Load
}

func (Heartbeat) message()     {}
func (Ack) message()           {}
func (Push) message()          {}
func (Notice) message()        {}
func (Digest) message()        {}
func (Versions) message()      {}
func (Want) message()          {}
func (LivenessQuery) message() {}
func (LivenessReply) message() {}
func (LoadReport) message()    {}

// PullRequest requests the records that the caller lacks.
type PullRequest struct {
	// Member is the caller's own record, which the balancer merges; it may be empty.
	Member board.Record
	// Service limits the reply to the scope of an agent of the service; empty requests all records.
	Service string
	// Have lists versions that the caller already holds.
	Have []Item
	// Want limits the reply to the records with these hashes; empty requests the whole scope.
	Want []uint64
}
