package passthrough

const (
	// maxAckDistance is the number of sequence numbers that count as acknowledgements of a flow. A random number is one
	// of them with a probability of 1/256.
	maxAckDistance = 1 << 24
	// ackMargin is how far a caller's acknowledgement may be behind the backend server, which is far more than the data
	// in flight. The other half of maxAckDistance is for data that a record does not cover yet.
	ackMargin = maxAckDistance / 2
	// ackRenewalDistance is how far a flow may advance before its owner renews the records that other agents have of it.
	ackRenewalDistance = ackMargin / 2
)

// sequenceWindow follows the sequence numbers of a backend server on one flow. Sequence numbers wrap around, so a flow
// may be longer than their range.
type sequenceWindow struct {
	min  uint32 // the lowest number that the caller's packets acknowledge
	next uint32 // the number after the last one that was sent
	// complete means that all packets of the flow are known, so nothing after next can be acknowledged.
	complete bool
}

// newSequenceWindow returns the window of a flow that opens with the given initial sequence number.
func newSequenceWindow(isn uint32) sequenceWindow {
	return sequenceWindow{min: isn, next: isn, complete: true}
}

// preExistingWindow returns the window of a flow whose first known packet has the given sequence number. The packet may
// be a retransmission, or the caller may have acknowledged less.
func preExistingWindow(seq uint32) sequenceWindow {
	return sequenceWindow{min: seq - ackMargin, next: seq}
}

// opensAt reports whether the flow opened with the given initial sequence number; this is not known any more once the
// window has moved.
func (w sequenceWindow) opensAt(isn uint32) bool { return w.min == isn }

// reopened returns the window after an answer to an opening packet. What was sent shortly after that number belongs to
// the same flow, and the answer is a copy of an earlier one.
func (w sequenceWindow) reopened(isn uint32) sequenceWindow {
	fresh := newSequenceWindow(isn)
	if w.next-isn <= ackMargin {
		fresh.next = w.next
	}
	return fresh
}

// advance applies a packet of the backend server. Retransmissions do not move the window back.
func (w *sequenceWindow) advance(seg Segment) {
	end := seg.Seq() + uint32(seg.Size()) //nolint:gosec // a packet is shorter than 64 KiB
	if seg.Has(FlagOpen) || seg.Has(FlagFinish) {
		end++ // The mark itself is acknowledged.
	}
	if !isAfter(end, w.next) {
		return
	}
	w.next = end
	if end-w.min > ackMargin {
		w.min = end - ackMargin
	}
}

// isAfter reports whether a sequence number is after another one.
func isAfter(a, b uint32) bool { return a != b && a-b < 1<<31 }

// acknowledgedBy reports whether a caller's packet acknowledges a number of the window. A reset counts for any number.
func (w sequenceWindow) acknowledgedBy(seg Segment) bool {
	if w.complete && seg.Ack()-w.min > w.next-w.min && !seg.Has(FlagReset) {
		return false
	}
	return acknowledges(w.min, seg)
}

// acknowledges reports whether a packet acknowledges data from the given sequence number on. A reset counts for any
// number.
func acknowledges(minAck uint32, seg Segment) bool {
	return seg.Has(FlagReset) || seg.Ack()-minAck < maxAckDistance
}

// NeedsRenewal reports whether the record that other agents have of a flow must be renewed because the lowest number that
// callers acknowledge has risen from the recorded one.
func NeedsRenewal(recorded, minAck uint32) bool { return minAck-recorded > ackRenewalDistance }
