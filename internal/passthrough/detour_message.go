package passthrough

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/bramleymast/bramleymast/pkg/detour"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// Kinds of the messages of Detours.
const (
	kindRelay messageKind = iota + 0x20
	kindCheck
	kindChecked
	kindShare
	kindCheckedFromOutside
)

// relay carries a datagram for another process. The receiver sends it on once.
type relay struct {
	to   netip.AddrPort
	from netip.AddrPort
	// forwarded means that the message has visited the relay.
	forwarded bool
	datagram  []byte
}

// check is a probe that arrives through a relay. The agent answers directly and through the relay.
type check struct {
	probe
	// zone is the zone of the balancer.
	zone string
	// answerByRelay means that nothing that the agent sends directly arrives at the balancer.
	answerByRelay bool
}

// checked is the answer to a check.
type checked struct {
	report
	// age is how long ago the agent last received a datagram directly from the balancer.
	age time.Duration
}

// share tells an agent the relays to processes in a zone to which nothing passes directly.
type share struct {
	detours []detour.Detour
}

// checkedFromOutside tells a balancer that a balancer of another zone checks the agent, so that what others send arrives
// and what the agent sends does not.
type checkedFromOutside struct {
	agent netip.AddrPort
}

func (m *relay) append(b []byte) []byte {
	b = header(b, kindRelay)
	b = appendAddress(b, m.to)
	b = appendAddress(b, m.from)
	b = appendFlag(b, m.forwarded)
	return append(b, m.datagram...)
}

func (m *check) append(b []byte) []byte {
	b = header(b, kindCheck)
	b = appendAddress(b, m.origin)
	b = binary.BigEndian.AppendUint64(b, m.revision)
	b = appendEntryRevisions(b, m.newest)
	b = appendFlag(b, m.answerByRelay)
	return appendText(b, m.zone)
}

func (m *checkedFromOutside) append(b []byte) []byte {
	return appendAddress(header(b, kindCheckedFromOutside), m.agent)
}

func (m *checked) append(b []byte) []byte {
	b = header(b, kindChecked)
	b = appendAddress(b, m.agent)
	b = binary.BigEndian.AppendUint64(b, uint64(m.service))
	b = binary.BigEndian.AppendUint64(b, m.revision)
	b = appendLoad(b, m.load)
	b = binary.BigEndian.AppendUint16(b, m.balancers)
	return appendUnits(b, m.age, time.Millisecond)
}

func (m *share) append(b []byte) []byte {
	b = header(b, kindShare)
	b = append(b, byte(len(m.detours)))
	for _, d := range m.detours {
		b = appendAddress(b, d.To)
		b = appendAddress(b, d.Relay)
	}
	return b
}

// detourMessage decodes a message of Detours.
func (r *reader) detourMessage(k messageKind) message {
	switch k { //nolint:exhaustive // the other kinds are decoded by message
	case kindRelay:
		return r.relay()
	case kindCheck:
		return r.check()
	case kindChecked:
		return r.checked()
	case kindCheckedFromOutside:
		return &checkedFromOutside{agent: r.address()}
	default:
		return r.share()
	}
}

func (r *reader) relay() *relay {
	m := &relay{to: r.address(), from: r.address(), forwarded: r.next(1)[0] == 1}
	m.datagram = r.rest
	return m
}

func (r *reader) check() *check {
	m := &check{probe: probe{origin: r.address(), revision: r.uint64(), newest: r.entryRevisions()}}
	m.answerByRelay = r.next(1)[0] == 1
	m.zone = r.text()
	return m
}

func (r *reader) checked() *checked {
	m := &checked{report: report{agent: r.address(), service: flow.ServiceID(r.uint64()), revision: r.uint64(), load: r.load()}}
	m.balancers = binary.BigEndian.Uint16(r.next(2))
	m.age = r.milliseconds()
	return m
}

func (r *reader) share() *share {
	m := &share{}
	for range r.next(1)[0] {
		m.detours = append(m.detours, detour.Detour{To: r.address(), Relay: r.address()})
	}
	return m
}
