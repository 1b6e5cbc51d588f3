package membership

import (
	"github.com/bramleymast/bramleymast/pkg/board"
)

// Message is a control message: Heartbeat, Ack, Push, Notice, Digest, Versions, Want, Query, Heard or LoadReport.
type Message interface{ message() }

// Load is how busy an agent is.
type Load struct {
	InProgress uint32
	Flows      uint32
	Slots      uint32
}

// Sums is a digest of an agent's scope; equal sums mean that both sides hold the same versions.
type Sums struct {
	// Config covers the contract of the service, zone states and states of the service's backend servers.
	Config uint64
	// Members covers the agents of the service and all balancers.
	Members uint64
}

// Heartbeat tells a home balancer that a member is alive.
type Heartbeat struct {
	Member  board.ID
	Version board.Version
	// Contract is the revision of the contract that an agent applies.
	Contract uint64
	Scope    Sums
}

// Ack answers a heartbeat.
type Ack struct {
	// Same is true when the balancer holds what the heartbeat states; the rest is then empty.
	Same bool
	// Known is the version of the member on the balancer's board; an older one or a verdict makes the member announce itself.
	Known board.Version
	Scope Sums
}

// Push carries records. Relayed is true when the sender has them from another process.
type Push struct {
	Records []board.Record
	Relayed bool
}

// Notice announces records that are too large for a datagram.
type Notice struct{ Items []Item }

// Item is the version of one record, named by the hash of its id.
type Item struct {
	Hash    uint64
	Version board.Version
}

// Digest is the fixed-size digest of a board: of all records at Level 0, of one bucket at Level 1.
type Digest struct {
	Level  uint8
	Bucket uint8
	Sums   Buckets
}

// Versions lists the sender's versions in the sub-buckets of Mask of one bucket.
type Versions struct {
	Bucket uint8
	Mask   uint64
	Items  []Item
}

// Want asks for records by the hashes of their ids.
type Want struct{ Hashes []uint64 }

// Query asks a balancer whether it has heard from a member.
type Query struct{ Member board.ID }

// Heard says that the sender heard from a member some milliseconds ago.
type Heard struct {
	Member board.ID
	AgeMS  uint32
}

// LoadReport tells the load of an agent to a co-member.
type LoadReport struct {
	Agent string
	Load  Load
}

func (Heartbeat) message()  {}
func (Ack) message()        {}
func (Push) message()       {}
func (Notice) message()     {}
func (Digest) message()     {}
func (Versions) message()   {}
func (Want) message()       {}
func (Query) message()      {}
func (Heard) message()      {}
func (LoadReport) message() {}

// PullRequest asks a balancer for the records that the caller lacks.
type PullRequest struct {
	// Member is the caller's own record, which the balancer takes; it may be empty.
	Member board.Record
	// Service limits the answer to an agent's scope; empty asks for all records.
	Service string
	// Have lists versions that need not be sent.
	Have []Item
	// Want limits the answer to these records; empty asks for the whole scope.
	Want []uint64
}
