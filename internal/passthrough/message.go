// Package passthrough runs the processes that forward the packets of pass-through flows: the balancer on an entry host
// and the agent beside a backend server.
package passthrough

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/entryhost"
	"github.com/bramleymast/bramleymast/pkg/flow"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

// errMalformedMessage means that a datagram between processes cannot be decoded.
const errMalformedMessage = errors.ConstError("malformed message")

const (
	// magic and version start every datagram between processes.
	magic   = 0xb7
	version = 1
	// maxMessage is the largest datagram in bytes.
	maxMessage = 2048
	// addressSize is the size of an encoded IPv4 address with its port.
	addressSize = 6
	// loadSize is the size of an encoded load.
	loadSize = 15
)

// messageKind is the third byte of a datagram.
type messageKind byte

const (
	kindForward messageKind = iota + 1
	kindPlaced
	kindOwner
	kindProbe
	kindReport
	kindAnnounce
	kindUnanswered
	kindUnowned
	kindSearch
	kindDenied
)

// message is a datagram between processes: forward, placed, owner, probe, report, announce, unanswered, unowned, search
// or denied.
type message interface {
	append(b []byte) []byte
}

// forward carries a caller's packet to an agent.
type forward struct {
	// origin is the balancer that is notified of the flow's owner.
	origin  netip.AddrPort
	service flow.ServiceID
	// revision is the operator revision of the process that created the message.
	revision uint64
	// hops is how many agents the packet has visited before the receiver.
	hops uint8
	// delay is how long the packet has been within the system.
	delay time.Duration
	// objective is the latency objective of the caller's requests.
	objective time.Duration
	// isRetry means that an earlier attempt of the caller was not answered.
	isRetry bool
	// likelyOwner means that the sender has a record that the receiver owns the flow.
	likelyOwner bool
	// voucher is that of the balancer.
	voucher entryhost.Voucher
	// searched means that the packet was sent to all agents. It is not encoded.
	searched bool
	// path lists the agents to visit next, directory those that keep a record of the owner.
	path      passthrough.Path
	directory passthrough.Path
	packet    []byte
}

// placed notifies a balancer of the agent that owns a flow.
type placed struct {
	flow    passthrough.FlowID
	agent   netip.AddrPort
	service flow.ServiceID
	// delivered means that the opening packet was delivered to the backend server.
	delivered bool
	load      passthrough.Load
}

// owner notifies an agent that another agent owns a flow.
type owner struct {
	flow  passthrough.FlowID
	agent netip.AddrPort
	// minAck is the lowest number that the caller's packets acknowledge.
	minAck uint32
}

// probe requests a report from an agent.
type probe struct {
	origin   netip.AddrPort
	revision uint64
	newest   entryRevisions
	voucher  entryhost.Voucher
	// digest is that of the balancer's operatorVersion; 0 in a check.
	digest uint32
}

// report notifies a balancer of the load of an agent.
type report struct {
	agent netip.AddrPort
	// service is the agent's service, which is needed because the platform reuses addresses.
	service  flow.ServiceID
	revision uint64
	load     passthrough.Load
	// balancers is the number of balancers that the agent has received messages from.
	balancers uint16
	newest    entryRevisions
	// hosts is what the agent has heard of the hosts of balancers.
	hosts entryhost.Report
	// digest is that of the agent's operatorVersion; 0 in the answer to a check.
	digest uint32
}

// announce notifies a seed of an agent that the store does not list.
type announce struct {
	agent netip.AddrPort
	// revision is the operator revision of the agent.
	revision uint64
	id       string
	service  string
	zone     string
	// addresses are the service addresses that the agent's backend server was observed to serve.
	addresses []netip.AddrPort
}

// unanswered notifies balancers of callers that are about to retry.
type unanswered struct {
	attempts []passthrough.UnansweredAttempt
}

// unowned returns a packet to its balancer because no agent on its path has a record of the flow's owner.
type unowned struct {
	agent  netip.AddrPort
	hops   uint8
	packet []byte
}

// search carries a packet of a flow without a known owner to several agents; only the owner delivers it.
type search struct {
	// origin is the balancer that is notified of the flow's owner.
	origin   netip.AddrPort
	revision uint64
	// services are those that the flow's route leads to, or led to before the last change.
	services  []flow.ServiceID
	directory passthrough.Path
	// agents are the agents to which the receiver passes the message on.
	agents []netip.AddrPort
	packet []byte
}

// denied notifies a balancer that the agent's backend server does not hold a flow that was searched for.
type denied struct {
	flow  passthrough.FlowID
	agent netip.AddrPort
	// ack is the acknowledged sequence number of the searched packet.
	ack uint32
	// restarted means that the agent and its backend server have just started.
	restarted bool
	newest    entryRevisions
}

// maxUnanswered limits the attempts in one message.
const maxUnanswered = 128

func appendAddress(b []byte, a netip.AddrPort) []byte {
	var ip [4]byte
	if a.IsValid() {
		ip = a.Addr().As4()
	}
	b = append(b, ip[:]...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

func appendPath(b []byte, p *passthrough.Path) []byte {
	b = append(b, byte(p.Len()))
	for _, a := range p.All() {
		b = appendAddress(b, a)
	}
	return b
}

func appendLoad(b []byte, l passthrough.Load) []byte {
	b = binary.BigEndian.AppendUint16(b, l.InProgress)
	b = binary.BigEndian.AppendUint16(b, l.Slots)
	b = append(b, l.FailurePercent)
	b = appendFlag(b, l.AcceptsFlows)
	b = binary.BigEndian.AppendUint16(b, l.Limit)
	b = appendUnits(b, l.ServiceTime, loadTimeUnit)
	b = appendUnits(b, l.Wait, loadTimeUnit)
	b = binary.BigEndian.AppendUint16(b, l.Flows)
	return append(b, l.Refused)
}

// voucherUnit is the resolution of the age of a voucher, of which a byte holds more than the time for which it is valid.
const voucherUnit = 10 * time.Millisecond

// appendVoucher appends a voucher in two bytes, its age rounded up and limited.
func appendVoucher(b []byte, v entryhost.Voucher) []byte {
	age := min((max(v.Age, 0)+voucherUnit-1)/voucherUnit, math.MaxUint8)
	return append(b, byte(v.Class), byte(age))
}

// loadTimeUnit is the resolution of the times in a load, of which the longest is 6.5 s.
const loadTimeUnit = 100 * time.Microsecond

// appendUnits appends a duration in a unit, limited to 65,535 units.
func appendUnits(b []byte, d, unit time.Duration) []byte {
	return binary.BigEndian.AppendUint16(b, uint16(min(max(d/unit, 0), 1<<16-1))) //nolint:gosec // bounded above
}

func decodeUnits(b []byte, unit time.Duration) time.Duration {
	return time.Duration(binary.BigEndian.Uint16(b)) * unit
}

func appendFlag(b []byte, flag bool) []byte {
	if flag {
		return append(b, 1)
	}
	return append(b, 0)
}

func header(b []byte, k messageKind) []byte { return append(b, magic, version, byte(k)) }

func (m *forward) append(b []byte) []byte {
	b = header(b, kindForward)
	b = appendAddress(b, m.origin)
	b = binary.BigEndian.AppendUint64(b, uint64(m.service))
	b = binary.BigEndian.AppendUint64(b, m.revision)
	b = append(b, m.hops)
	b = appendUnits(b, m.delay, time.Millisecond)
	b = appendUnits(b, m.objective, time.Millisecond)
	b = append(b, m.flags())
	b = appendVoucher(b, m.voucher)
	b = appendPath(b, &m.path)
	b = appendPath(b, &m.directory)
	return append(b, m.packet...)
}

// Bits of the flags of a forward message.
const (
	forwardIsRetry     = 1
	forwardLikelyOwner = 2
)

func (m *forward) flags() byte {
	var flags byte
	if m.isRetry {
		flags |= forwardIsRetry
	}
	if m.likelyOwner {
		flags |= forwardLikelyOwner
	}
	return flags
}

func (m *placed) append(b []byte) []byte {
	b = header(b, kindPlaced)
	b = m.flow.Append(b)
	b = appendAddress(b, m.agent)
	b = binary.BigEndian.AppendUint64(b, uint64(m.service))
	b = appendFlag(b, m.delivered)
	return appendLoad(b, m.load)
}

func (m *owner) append(b []byte) []byte {
	b = header(b, kindOwner)
	b = m.flow.Append(b)
	b = appendAddress(b, m.agent)
	return binary.BigEndian.AppendUint32(b, m.minAck)
}

func (m *probe) append(b []byte) []byte {
	b = header(b, kindProbe)
	b = appendAddress(b, m.origin)
	b = binary.BigEndian.AppendUint64(b, m.revision)
	b = appendEntryRevisions(b, m.newest)
	b = appendVoucher(b, m.voucher)
	return binary.BigEndian.AppendUint32(b, m.digest)
}

func (m *report) append(b []byte) []byte {
	b = header(b, kindReport)
	b = appendAddress(b, m.agent)
	b = binary.BigEndian.AppendUint64(b, uint64(m.service))
	b = binary.BigEndian.AppendUint64(b, m.revision)
	b = appendLoad(b, m.load)
	b = binary.BigEndian.AppendUint16(b, m.balancers)
	b = appendEntryRevisions(b, m.newest)
	b = appendVoucher(b, m.hosts.Voucher)
	b = append(b, byte(m.hosts.Weakest))
	b = binary.BigEndian.AppendUint64(b, m.hosts.Newest)
	return binary.BigEndian.AppendUint32(b, m.digest)
}

func (m *announce) append(b []byte) []byte {
	b = header(b, kindAnnounce)
	b = appendAddress(b, m.agent)
	b = binary.BigEndian.AppendUint64(b, m.revision)
	for _, text := range []string{m.id, m.service, m.zone} {
		b = appendText(b, text)
	}
	return appendAddresses(b, m.addresses)
}

func (m *unanswered) append(b []byte) []byte {
	b = header(b, kindUnanswered)
	attempts := m.attempts[:min(len(m.attempts), maxUnanswered)]
	b = append(b, byte(len(attempts)))
	for _, a := range attempts {
		b = a.Flow.Append(b)
		b = appendUnits(b, a.Age, time.Millisecond)
		b = appendFlag(b, a.IsRetry)
	}
	return b
}

func (m *unowned) append(b []byte) []byte {
	b = header(b, kindUnowned)
	b = appendAddress(b, m.agent)
	return append(append(b, m.hops), m.packet...)
}

func (m *search) append(b []byte) []byte {
	b = header(b, kindSearch)
	b = appendAddress(b, m.origin)
	b = binary.BigEndian.AppendUint64(b, m.revision)
	b = append(b, byte(len(m.services)))
	for _, s := range m.services {
		b = binary.BigEndian.AppendUint64(b, uint64(s))
	}
	b = appendPath(b, &m.directory)
	b = appendAddresses(b, m.agents)
	return append(b, m.packet...)
}

func (m *denied) append(b []byte) []byte {
	b = header(b, kindDenied)
	b = m.flow.Append(b)
	b = appendAddress(b, m.agent)
	b = binary.BigEndian.AppendUint32(b, m.ack)
	b = appendFlag(b, m.restarted)
	return appendEntryRevisions(b, m.newest)
}

func appendEntryRevisions(b []byte, r entryRevisions) []byte {
	b = binary.BigEndian.AppendUint64(b, r.created)
	return binary.BigEndian.AppendUint64(b, r.written)
}

// appendAddresses appends a list of at most 255 addresses; the rest is left out.
func appendAddresses(b []byte, all []netip.AddrPort) []byte {
	all = all[:min(len(all), math.MaxUint8)]
	b = append(b, byte(len(all)))
	for _, a := range all {
		b = appendAddress(b, a)
	}
	return b
}

// maxText limits a string in a datagram, in bytes.
const maxText = 255

// appendText appends a string with its length; it is truncated to maxText bytes.
func appendText(b []byte, text string) []byte {
	text = text[:min(len(text), maxText)]
	return append(append(b, byte(len(text))), text...)
}

// reader reads the fields of a datagram in order and records whether the datagram is too short.
type reader struct {
	rest      []byte
	truncated bool
}

func (r *reader) next(n int) []byte {
	if len(r.rest) < n {
		r.truncated = true
		return make([]byte, n)
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *reader) uint64() uint64 { return binary.BigEndian.Uint64(r.next(8)) }

func (r *reader) uint32() uint32 { return binary.BigEndian.Uint32(r.next(4)) }

func (r *reader) entryRevisions() entryRevisions {
	return entryRevisions{created: r.uint64(), written: r.uint64()}
}

func (r *reader) services() []flow.ServiceID {
	all := make([]flow.ServiceID, r.next(1)[0])
	for i := range all {
		all[i] = flow.ServiceID(r.uint64())
	}
	return all
}

func (r *reader) milliseconds() time.Duration { return decodeUnits(r.next(2), time.Millisecond) }

func (r *reader) address() netip.AddrPort {
	b := r.next(addressSize)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
}

func (r *reader) text() string { return string(r.next(int(r.next(1)[0]))) }

func (r *reader) voucher() entryhost.Voucher {
	b := r.next(2)
	return entryhost.Voucher{Class: entryhost.Class(b[0]), Age: time.Duration(b[1]) * voucherUnit}
}

func (r *reader) addresses() []netip.AddrPort {
	n := r.next(1)[0]
	if n == 0 {
		return nil
	}
	all := make([]netip.AddrPort, 0, n)
	for range n {
		all = append(all, r.address())
	}
	return all
}

func (r *reader) unanswered() []passthrough.UnansweredAttempt {
	n := r.next(1)[0]
	if n == 0 {
		return nil
	}
	all := make([]passthrough.UnansweredAttempt, 0, n)
	for range n {
		f := passthrough.DecodeFlowID(r.next(passthrough.FlowIDSize))
		all = append(all, passthrough.UnansweredAttempt{Flow: f, Age: r.milliseconds(), IsRetry: r.next(1)[0] == 1})
	}
	return all
}

func (r *reader) path() passthrough.Path {
	var p passthrough.Path
	for range r.next(1)[0] {
		if !p.Add(r.address()) {
			r.truncated = true
			break
		}
	}
	return p
}

func (r *reader) load() passthrough.Load {
	b := r.next(loadSize)
	return passthrough.Load{
		InProgress: binary.BigEndian.Uint16(b), Slots: binary.BigEndian.Uint16(b[2:]), FailurePercent: b[4], AcceptsFlows: b[5] == 1,
		Limit: binary.BigEndian.Uint16(b[6:]), ServiceTime: decodeUnits(b[8:], loadTimeUnit), Wait: decodeUnits(b[10:], loadTimeUnit),
		Flows: binary.BigEndian.Uint16(b[12:]), Refused: b[14],
	}
}

// decodeMessage decodes a datagram; a forwarded packet shares the memory of b.
func decodeMessage(b []byte) (message, error) {
	if len(b) < 3 || b[0] != magic || b[1] != version {
		return nil, errors.Annotatef(errMalformedMessage, "%d bytes with the header % x, want %x %02x and a kind", len(b), b[:min(len(b), 3)], magic, version)
	}
	r := &reader{rest: b[3:]}
	m := r.message(messageKind(b[2]))
	if m == nil || r.truncated {
		return nil, errors.Annotatef(errMalformedMessage, "unknown kind or truncated: kind %d, %d bytes", b[2], len(b))
	}
	return m, nil
}

func (r *reader) report() *report {
	m := &report{agent: r.address(), service: flow.ServiceID(r.uint64()), revision: r.uint64(), load: r.load()}
	m.balancers = binary.BigEndian.Uint16(r.next(2))
	m.newest = r.entryRevisions()
	m.hosts = entryhost.Report{Voucher: r.voucher(), Weakest: entryhost.Class(r.next(1)[0]), Newest: r.uint64()}
	m.digest = r.uint32()
	return m
}

func (r *reader) message(k messageKind) message {
	switch k {
	case kindForward:
		m := &forward{origin: r.address(), service: flow.ServiceID(r.uint64()), revision: r.uint64(), hops: r.next(1)[0]}
		m.delay, m.objective = r.milliseconds(), r.milliseconds()
		flags := r.next(1)[0]
		m.isRetry, m.likelyOwner = flags&forwardIsRetry != 0, flags&forwardLikelyOwner != 0
		m.voucher = r.voucher()
		m.path, m.directory = r.path(), r.path()
		m.packet = r.rest
		return m
	case kindPlaced:
		return &placed{flow: passthrough.DecodeFlowID(r.next(passthrough.FlowIDSize)), agent: r.address(), service: flow.ServiceID(r.uint64()), delivered: r.next(1)[0] == 1, load: r.load()}
	case kindOwner:
		m := &owner{flow: passthrough.DecodeFlowID(r.next(passthrough.FlowIDSize)), agent: r.address()}
		m.minAck = r.uint32()
		return m
	case kindProbe:
		return &probe{origin: r.address(), revision: r.uint64(), newest: r.entryRevisions(), voucher: r.voucher(), digest: r.uint32()}
	case kindReport:
		return r.report()
	case kindAnnounce:
		return &announce{agent: r.address(), revision: r.uint64(), id: r.text(), service: r.text(), zone: r.text(), addresses: r.addresses()}
	case kindUnanswered:
		return &unanswered{attempts: r.unanswered()}
	case kindUnowned:
		m := &unowned{agent: r.address(), hops: r.next(1)[0]}
		m.packet = r.rest
		return m
	case kindSearch:
		m := &search{origin: r.address(), revision: r.uint64(), services: r.services(), directory: r.path(), agents: r.addresses()}
		m.packet = r.rest
		return m
	case kindDenied:
		m := &denied{flow: passthrough.DecodeFlowID(r.next(passthrough.FlowIDSize)), agent: r.address()}
		m.ack = r.uint32()
		m.restarted = r.next(1)[0] == 1
		m.newest = r.entryRevisions()
		return m
	case kindRelay, kindCheck, kindChecked, kindShare, kindCheckedFromOutside:
		return r.detourMessage(k)
	}
	return nil
}
