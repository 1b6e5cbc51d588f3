package passthrough

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/pkg/entryhost"
	"github.com/bramleymast/bramleymast/pkg/flow"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

func drawAddress(t *rapid.T, name string) netip.AddrPort {
	ip := rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, name)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), rapid.Uint16().Draw(t, name+" port"))
}

func drawPath(t *rapid.T, name string) passthrough.Path {
	var p passthrough.Path
	for range rapid.IntRange(0, passthrough.MaxPath).Draw(t, name) {
		p.Add(drawAddress(t, name))
	}
	return p
}

func drawLoad(t *rapid.T) passthrough.Load {
	return passthrough.Load{
		InProgress: rapid.Uint16().Draw(t, "in progress"), Slots: rapid.Uint16().Draw(t, "slots"),
		FailurePercent: rapid.Byte().Draw(t, "failure percent"), AcceptsFlows: rapid.Bool().Draw(t, "accepts flows"),
		Limit:       rapid.Uint16().Draw(t, "limit"),
		ServiceTime: time.Duration(rapid.Uint16().Draw(t, "service time")) * loadTimeUnit,
		Wait:        time.Duration(rapid.Uint16().Draw(t, "wait")) * loadTimeUnit,
		Refused:     rapid.Uint8().Draw(t, "refused"),
	}
}

func drawVoucher(t *rapid.T) entryhost.Voucher {
	age := time.Duration(rapid.IntRange(0, 255).Draw(t, "age")) * voucherUnit
	return entryhost.Voucher{Class: entryhost.Class(rapid.Byte().Draw(t, "class")), Age: age}
}

func drawEntryRevisions(t *rapid.T) entryRevisions {
	return entryRevisions{created: rapid.Uint64().Draw(t, "created"), written: rapid.Uint64().Draw(t, "written")}
}

func drawMessage(t *rapid.T) message {
	f := passthrough.NewFlowID(drawAddress(t, "caller"), drawAddress(t, "service"))
	switch rapid.IntRange(1, 10).Draw(t, "kind") {
	case 1:
		return &forward{
			origin: drawAddress(t, "origin"), service: flow.ServiceID(rapid.Uint64().Draw(t, "service")),
			revision: rapid.Uint64().Draw(t, "revision"), hops: rapid.Byte().Draw(t, "hops"),
			delay:     time.Duration(rapid.Uint16().Draw(t, "delay")) * time.Millisecond,
			objective: time.Duration(rapid.Uint16().Draw(t, "objective")) * time.Millisecond,
			isRetry:   rapid.Bool().Draw(t, "is retry"), likelyOwner: rapid.Bool().Draw(t, "likely owner"), voucher: drawVoucher(t),
			path: drawPath(t, "path"), directory: drawPath(t, "directory"),
			packet: rapid.SliceOfN(rapid.Byte(), 1, 1231).Draw(t, "packet"),
		}
	case 2:
		return &placed{flow: f, agent: drawAddress(t, "agent"), service: flow.ServiceID(rapid.Uint64().Draw(t, "service")), delivered: rapid.Bool().Draw(t, "delivered"), load: drawLoad(t)}
	case 3:
		return &owner{flow: f, agent: drawAddress(t, "agent"), minAck: rapid.Uint32().Draw(t, "min ack")}
	case 4:
		return &probe{origin: drawAddress(t, "origin"), revision: rapid.Uint64().Draw(t, "revision"), newest: drawEntryRevisions(t), voucher: drawVoucher(t), digest: rapid.Uint32().Draw(t, "digest")}
	case 5:
		m := &announce{agent: drawAddress(t, "agent"), revision: rapid.Uint64().Draw(t, "revision"), id: rapid.StringN(0, -1, maxText).Draw(t, "id"), service: rapid.StringN(0, -1, maxText).Draw(t, "name"), zone: rapid.StringN(0, -1, maxText).Draw(t, "zone")}
		for range rapid.IntRange(0, maxAnnouncedAddresses).Draw(t, "addresses") {
			m.addresses = append(m.addresses, drawAddress(t, "address"))
		}
		return m
	case 6:
		m := &unanswered{}
		for range rapid.IntRange(0, maxUnanswered).Draw(t, "attempts") {
			m.attempts = append(m.attempts, passthrough.UnansweredAttempt{Flow: f, Age: time.Duration(rapid.Uint16().Draw(t, "age")) * time.Millisecond})
		}
		return m
	case 7:
		return &unowned{agent: drawAddress(t, "agent"), hops: rapid.Byte().Draw(t, "hops"), packet: rapid.SliceOfN(rapid.Byte(), 1, 1231).Draw(t, "packet")}
	case 8:
		m := &search{
			origin: drawAddress(t, "origin"), revision: rapid.Uint64().Draw(t, "revision"), directory: drawPath(t, "directory"),
			services: []flow.ServiceID{flow.ServiceID(rapid.Uint64().Draw(t, "service")), flow.ServiceID(rapid.Uint64().Draw(t, "previous service"))},
			packet:   rapid.SliceOfN(rapid.Byte(), 1, 1231).Draw(t, "packet"),
		}
		for range rapid.IntRange(0, passthrough.MaxSearchGroup).Draw(t, "agents") {
			m.agents = append(m.agents, drawAddress(t, "searched agent"))
		}
		return m
	case 9:
		return &denied{flow: f, agent: drawAddress(t, "agent"), ack: rapid.Uint32().Draw(t, "ack"), restarted: rapid.Bool().Draw(t, "restarted"), newest: drawEntryRevisions(t)}
	default:
		return &report{agent: drawAddress(t, "agent"), service: flow.ServiceID(rapid.Uint64().Draw(t, "service")), revision: rapid.Uint64().Draw(t, "revision"), load: drawLoad(t), balancers: rapid.Uint16().Draw(t, "balancers"), newest: drawEntryRevisions(t), hosts: entryhost.Report{Voucher: drawVoucher(t), Weakest: entryhost.Class(rapid.Byte().Draw(t, "weakest")), Newest: rapid.Uint64().Draw(t, "newest")}, digest: rapid.Uint32().Draw(t, "digest")}
	}
}

var cmpMessages = cmp.Options{
	cmp.AllowUnexported(entryRevisions{}, forward{}, placed{}, owner{}, probe{}, report{}, announce{}, unanswered{}, unowned{}, search{}, denied{}),
	cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }),
	cmp.Comparer(func(a, b passthrough.Path) bool { return a == b }),
	cmp.Comparer(func(a, b passthrough.FlowID) bool { return a == b }),
}

// Guards against a message that is decoded to other values than it was encoded from, against datagrams that exceed
// maxMessage, and against truncated datagrams that are accepted.
func TestMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		b := m.append(nil)
		if len(b) > maxMessage {
			t.Fatalf("%T of %d bytes, maximum %d", m, len(b), maxMessage)
		}
		got, err := decodeMessage(b)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(m, got, cmpMessages); diff != "" {
			t.Fatal(diff)
		}
		for n := range min(len(b), 40) {
			if short, err := decodeMessage(b[:n]); err == nil {
				switch short.(type) {
				case *forward, *unowned, *search: // These end with a packet, which its codec checks.
				default:
					t.Fatalf("the first %d of %d bytes are decoded as %T", n, len(b), short)
				}
			}
		}
	})
}

// Guards against a datagram from another sender that makes the process panic.
func FuzzDecodeMessage(f *testing.F) {
	f.Add([]byte{magic, version, byte(kindProbe), 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14})
	f.Add((&report{agent: netip.MustParseAddrPort("10.0.0.1:1")}).append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeMessage(b)
		if err != nil {
			assert.ErrorIs(t, err, errMalformedMessage)
			return
		}
		_ = m.append(nil)
	})
}
