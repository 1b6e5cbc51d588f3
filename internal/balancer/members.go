package balancer

import (
	"sync"

	"golang.org/x/time/rate"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// Bounds on the keys that are derived for senders that the board does not know, in senders a second. An agent may
// answer before its record arrives here, so they are not refused.
const (
	unknownSenderRate  = 200
	unknownSenderBurst = 200
)

// memberKey names an agent as datagrams do.
type memberKey struct {
	service flow.ServiceID
	owner   flow.ShortID
}

// members holds the ids and incarnations of the agents on the board.
type members struct {
	limit *rate.Limiter

	mu           sync.Mutex
	incarnations map[uint64]struct{}
	ids          map[memberKey]string
}

func newMembers() *members {
	return &members{
		limit:        rate.NewLimiter(unknownSenderRate, unknownSenderBurst),
		incarnations: make(map[uint64]struct{}),
		ids:          make(map[memberKey]string),
	}
}

// admit reports whether the key of a sender may be derived.
func (m *members) admit(incarnation uint64) bool {
	m.mu.Lock()
	_, known := m.incarnations[incarnation]
	m.mu.Unlock()
	return known || m.limit.Allow()
}

// id returns the id of an agent, or empty when it is not on the board.
func (m *members) id(k memberKey) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ids[k]
}

func (m *members) add(id, service string, incarnation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnations[incarnation] = struct{}{}
	m.ids[memberKey{service: flow.ServiceIDOf(service), owner: flow.ShortIDOf(id)}] = id
}

// replace drops the agents that are no longer on the board.
func (m *members) replace(agents []board.Record) {
	fresh := newMembers()
	for _, r := range agents {
		if a, ok := r.Value.(board.Agent); ok {
			fresh.add(r.ID.Key, a.Service, r.Version.Epoch)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnations, m.ids = fresh.incarnations, fresh.ids
}
