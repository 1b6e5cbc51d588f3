package passthrough

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/detour"
	"github.com/bramleymast/bramleymast/pkg/passthrough"
)

func TestDetourMessages(t *testing.T) {
	a, b, c := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("10.0.0.3:7000")
	r := report{agent: a, service: 7, revision: 8, load: passthrough.Load{InProgress: 1, Slots: 2, AcceptsFlows: true}, balancers: 3}
	for _, want := range []message{
		&relay{to: a, from: b, forwarded: true, datagram: (&probe{origin: b}).append(nil)},
		&check{probe: probe{origin: a, revision: 1, newest: entryRevisions{created: 2}}, zone: "zone-a", answerByRelay: true},
		&checked{report: r, age: 123 * time.Millisecond},
		&checkedFromOutside{agent: a},
		&share{detours: []detour.Detour{{To: a, Relay: b}, {To: c, Relay: b}}},
	} {
		data := want.append(nil)
		got, err := decodeMessage(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want, cmpMessages, cmp.AllowUnexported(relay{}, check{}, checked{}, checkedFromOutside{}, share{}))
		for n := range data[:min(len(data), 3+2*addressSize)] {
			_, err := decodeMessage(data[:n])
			assert.Assert(t, err != nil, "%T of %d bytes", want, n)
		}
	}
}

// newTestLink returns a link that records the receivers of its datagrams and sends none.
func newTestLink(t *testing.T, features Features) (*link, *[]netip.AddrPort) {
	t.Helper()
	sent := &[]netip.AddrPort{}
	l := &link{self: netip.MustParseAddrPort("10.0.0.1:7000"), metrics: newMetrics("agent", gauges{})}
	l.filter = func(_, to netip.AddrPort) bool {
		*sent = append(*sent, to)
		return false
	}
	newDetours(l, features, hclog.NewNullLogger())
	return l, sent
}

// Guards against datagrams that circulate between relays, and against a host that spends its capacity on relaying.
func TestRelayOnceAndLimited(t *testing.T) {
	l, sent := newTestLink(t, NewFeatures(Detours))
	from, to := netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("10.0.0.3:7000")
	datagram := (&probe{origin: from}).append(nil)
	now := time.Unix(1000, 0)
	open := func(m *relay) message {
		got, _, err := l.detours.open(now, from, m.append(nil))
		assert.NilError(t, err)
		return got
	}
	assert.Assert(t, open(&relay{to: to, from: from, datagram: datagram}) == nil)
	assert.DeepEqual(t, *sent, []netip.AddrPort{to}, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
	assert.Assert(t, open(&relay{to: to, from: from, forwarded: true, datagram: datagram}) == nil)
	assert.Equal(t, len(*sent), 1)
	nested := (&relay{to: to, from: from, datagram: datagram}).append(nil)
	assert.Assert(t, open(&relay{to: l.self, from: from, datagram: nested}) == nil)
	assert.Equal(t, len(*sent), 1)
	for range 2 * relayedPerSecond {
		open(&relay{to: to, from: from, datagram: datagram})
	}
	assert.Equal(t, len(*sent), relayedPerSecond)
}

// Guards against a process without the feature that relays or takes relayed messages.
func TestNoRelayWithoutFeature(t *testing.T) {
	l, sent := newTestLink(t, Features{})
	from := netip.MustParseAddrPort("10.0.0.2:7000")
	for _, to := range []netip.AddrPort{l.self, netip.MustParseAddrPort("10.0.0.3:7000")} {
		m := &relay{to: to, from: from, datagram: (&probe{origin: from}).append(nil)}
		got, _, err := l.detours.open(time.Unix(1000, 0), from, m.append(nil))
		assert.NilError(t, err)
		assert.Assert(t, got == nil)
	}
	assert.Equal(t, len(*sent), 0)
}

// Guards against an agent that learns of a new configuration seconds late, because it calls balancers that only relays
// reach, one after the other.
func TestCallsAvoidDeadWays(t *testing.T) {
	relayAddress, balancer := netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("10.0.0.3:7000")
	for _, test := range []struct {
		relayed, answersByRelay bool
		want                    netip.AddrPort
	}{{false, false, balancer}, {true, false, relayAddress}, {false, true, relayAddress}} {
		l, _ := newTestLink(t, NewFeatures(Detours))
		a := &Agent{link: l, admitter: passthrough.NewAdmitter(time.Now())}
		a.fetcher = newStateFetcher(&a.state, false, hclog.NewNullLogger())
		if test.answersByRelay {
			l.detours.table.Set(balancer, relayAddress, time.Time{})
		}
		from, datagram := balancer, (&probe{origin: balancer, revision: 7}).append(nil)
		if test.relayed {
			from, datagram = relayAddress, (&relay{to: l.self, from: balancer, forwarded: true, datagram: datagram}).append(nil)
		}
		a.onMessage(from, datagram)
		assert.Equal(t, <-a.fetcher.due, test.want)
	}
}
