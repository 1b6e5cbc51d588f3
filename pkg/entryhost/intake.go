// Package entryhost decides which entry hosts watch the store themselves and which of them rely on stronger ones, where
// the hosts of a deployment differ in processor and link.
//
// It knows no sockets and no messages: its inputs are times, revisions, capacities and what other hosts vouch for.
package entryhost

import (
	"math/bits"
	"time"
)

// Capacity is what a host offers to a process; the zero value is unknown.
type Capacity struct {
	// Cores is the processor time in seconds that the process gets in a second.
	Cores float64
	// LinkMbps is the bandwidth of the host's link in Mbit/s.
	LinkMbps float64
}

const (
	// configurationMegabytes is the size of the largest configuration, which is that of the store's largest value.
	configurationMegabytes = 1
	// decodingSeconds is the processor time of one core to receive and decode a configuration of that size.
	decodingSeconds = 0.05
	// megabits is the number of bits of a megabyte in base64, as the store sends it, in Mbit.
	megabits = 8 * 4.0 / 3
)

// Intake returns how long the host needs to take in the largest configuration from the store. Packets of callers wait
// behind it, on the link and for the processor. It is 0 if the capacity is unknown.
func (c Capacity) Intake() time.Duration {
	if c.Cores <= 0 || c.LinkMbps <= 0 {
		return 0
	}
	seconds := configurationMegabytes * (megabits/c.LinkMbps + decodingSeconds/c.Cores)
	return time.Duration(seconds * float64(time.Second))
}

// Class groups hosts by their intake, so that it fits into a few bits of a message: hosts of class n need up to 2^n ms,
// and twice as long as those of class n-1. 0 stands for unknown.
type Class uint8

// MaxClass is the class of the weakest hosts.
const MaxClass Class = 15

// Class returns the class of the host.
func (c Capacity) Class() Class {
	ms := c.Intake().Milliseconds()
	if c.Intake() <= 0 {
		return 0
	}
	return min(max(Class(bits.Len64(uint64(max(ms-1, 0)))), 1), MaxClass)
}

// patientClass is the highest class of hosts that take in a configuration without delaying callers noticeably: at most
// 256 ms, which is the shortest objective of callers. They rely on nobody.
const patientClass Class = 8

// minAdvantage is the difference of classes from which a host relies on another one. A difference of 2 means that the
// other host needs less than half of the time; equal hosts never rely on each other.
const minAdvantage Class = 2

// canRelyOn reports whether a host may rely on one of another class.
func (c Class) canRelyOn(other Class) bool {
	return c > patientClass && other > 0 && other+minAdvantage <= c
}
