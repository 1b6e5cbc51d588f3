package passthrough

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/store"
)

// Guards against a denial of flows that a backend server holds, whose run looks younger than it is after a step of the
// clock, as in case 3 of the review.
func TestIsNewRun(t *testing.T) {
	started := time.UnixMilli(1_000_000)
	own := backendRun{ID: "i-1", StartedMS: 1_000_000}
	for name, c := range map[string]struct {
		seq      uint64
		previous *agentEntry
		want     bool
	}{
		"an earlier process received a heartbeat of it": {2, &agentEntry{Run: own}, false},
		"its first heartbeat is sent twice":             {1, &agentEntry{Run: own}, false},
		"an earlier process had another run":            {3, &agentEntry{Run: backendRun{ID: "i-1", StartedMS: 900_000}}, true},
		"another backend server started at that time":   {3, &agentEntry{Run: backendRun{ID: "i-2", StartedMS: 1_000_000}}, true},
		"an entry of an older version":                  {2, &agentEntry{}, false},
		"no entry and the first heartbeat":              {1, nil, true},
		"no entry and a later heartbeat":                {2, nil, false},
	} {
		b := BackendHeartbeat{ID: "i-1", Started: started, Seq: c.seq}
		assert.Equal(t, b.isNewRun(c.previous), c.want, name)
	}
}

// Guards against an agent that takes its own entry for that of an earlier process, or misses that of an earlier process,
// because the response to a write was lost.
func TestRegistrarReportsPreviousEntry(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:7720")
	earlier := &agentEntry{Service: "orders", Address: address, Run: backendRun{ID: "i-1", StartedMS: 7}, Process: 1}
	for name, previous := range map[string]*agentEntry{"none": nil, "earlier process": earlier} {
		for _, lose := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				if previous != nil {
					s.put(store.Entry{Key: agentsPrefix + "agent-1", Value: previous.encode()})
				}
				s.loseSwap = lose
				r := newTestRegistrar(s)
				calls := 0
				r.onFirstWrite = func(got *agentEntry, e agentEntry) {
					calls++
					assert.DeepEqual(t, got, previous, cmpopts.EquateComparable(netip.AddrPort{}))
					assert.Equal(t, e.Run.ID, "i-2")
				}
				r.setRun(backendRun{ID: "i-2"})
				runRegistrarUntilEnd(t, r)
				r.onBackendSeen()
				time.Sleep(2 * time.Second)
				r.setRun(backendRun{ID: "i-3"})
				time.Sleep(2 * time.Second)
				assert.Equal(t, calls, 1, "%s, response lost: %v", name, lose)
			})
		}
	}
}
