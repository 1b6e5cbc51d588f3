package passthrough

import (
	"sync/atomic"

	"github.com/bramleymast/bramleymast/pkg/store"
)

// maxRevision holds the highest revision that it was given; the zero value is ready to use.
type maxRevision struct{ v atomic.Uint64 }

func (m *maxRevision) add(revision uint64) {
	for {
		old := m.v.Load()
		if revision <= old || m.v.CompareAndSwap(old, revision) {
			return
		}
	}
}

func (m *maxRevision) get() uint64 { return m.v.Load() }

// entryRevisions are the highest store revisions at which an agent's entry was created and at which one was written.
// Processes pass them on, so that a balancer finds out that its watch lacks an entry.
type entryRevisions struct{ created, written uint64 }

// loggedRevision returns a revision for a log line: its number, or text with the era of the store if there is one.
func loggedRevision[R ~uint64](revision R) any {
	if r := store.Revision(revision); r.Era() != 0 {
		return r.String()
	}
	return uint64(revision)
}

// newestEntries holds the highest revisions that it was given; the zero value is ready to use.
type newestEntries struct{ created, written maxRevision }

func (n *newestEntries) add(r entryRevisions) {
	n.created.add(r.created)
	n.written.add(r.written)
}

func (n *newestEntries) get() entryRevisions {
	return entryRevisions{created: n.created.get(), written: n.written.get()}
}
