package balancer

import (
	"sync"

	"golang.org/x/time/rate"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/flow"
)

// Limits on deriving keys for senders that are not on the board, in senders a second and senders in a burst. Such senders
// are not rejected outright because an agent may answer before its record reaches this balancer.
const (
	unknownSenderRate  = 200
	unknownSenderBurst = 200
)

// memberKey identifies an agent by the IDs that datagrams contain.
type memberKey struct {
	service flow.ServiceID
	agent   flow.ShortID
}

// members holds the IDs and incarnations of the agents on the board.
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

// admit reports whether the key of a sender may be derived: always for agents on the board, else within the limits.
func (m *members) admit(incarnation uint64) bool {
	m.mu.Lock()
	_, known := m.incarnations[incarnation]
	m.mu.Unlock()
	return known || m.limit.Allow()
}

// id returns the ID of an agent, or an empty string if it is not on the board.
func (m *members) id(k memberKey) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ids[k]
}

func (m *members) add(id, service string, incarnation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnations[incarnation] = struct{}{}
	m.ids[memberKey{service: flow.ServiceIDOf(service), agent: flow.ShortIDOf(id)}] = id
}

// replace replaces all entries with the agents on the board, which removes agents that have left it.
func (m *members) replace(agents []board.Record) {
	next := newMembers()
	for _, r := range agents {
		if a, ok := r.Value.(board.Agent); ok {
			next.add(r.ID.Key, a.Service, r.Version.Epoch)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnations, m.ids = next.incarnations, next.ids
}
