package passthrough

import (
	"bytes"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/pkg/route"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// comeBack makes the store come back from a copy in the next era.
func (s *fakeStore) comeBack(entries map[string]store.Entry, at store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.revision.Era() + 1
	s.revision, s.entries, s.events = store.NewRevision(era, at.Number()), make(map[string]store.Entry), nil
	for key, e := range entries {
		e.Revision, e.Created = store.NewRevision(era, e.Revision.Number()), store.NewRevision(era, e.Created.Number())
		s.entries[key] = e
	}
	s.compactedAt = s.revision
}

// Guards against a configuration that reverts to the older one of a copy, and against processes that each take the other
// one's for older.
func TestCompareConfigs(t *testing.T) {
	table := func(era, number, version uint64) *route.Table {
		return route.NewTable(uint64(store.NewRevision(era, number)), version, 0, nil, nil)
	}
	for _, test := range []struct {
		name        string
		it, current *route.Table
		want        configOrder
	}{
		{"the first one", table(1, 5, 1), nil, configNewer},
		{"newer", table(1, 6, 2), table(1, 5, 1), configNewer},
		{"older", table(1, 5, 1), table(1, 6, 2), configOlder},
		{"the same", table(1, 5, 1), table(1, 5, 1), configOlder},
		{"written again", table(2, 4, 2), table(1, 5, 2), configNewer},
		{"a newer one in a later era", table(2, 4, 3), table(1, 5, 2), configNewer},
		{"of the copy", table(2, 4, 1), table(1, 5, 2), configReverted},
		{"lost by the store, from a process in the earlier era", table(1, 5, 2), table(2, 4, 1), configNewer},
		{"lost by the store, from a process in the new era", table(2, 4, 2), table(2, 4, 1), configNewer},
		{"older, from a process in the earlier era", table(1, 5, 1), table(2, 4, 2), configOlder},
	} {
		assert.Equal(t, compareConfigs(test.it, test.current), test.want, test.name)
	}
}

// Guards against a zone that gets flows although it is still out of service, because the copy of the store lacks its key,
// and against one that stays out although its key is not written again.
func TestZoneSettlesInNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		state, f, _ := newOperatorState(s)
		f.settlingPeriod, f.settled = eraSettlingPeriod, state.operatorSettled.add
		assertOut := func(zone string, want bool) {
			t.Helper()
			out, _ := state.board.ZoneOut(zone)
			assert.Equal(t, out, want, "%s at %s", zone, s.revision)
		}
		s.put(store.Entry{Key: "op/out/a", Value: []byte("{}")})
		s.put(store.Entry{Key: "op/out/b", Value: []byte("{}")})
		_, err := f.list(t.Context())
		assert.NilError(t, err)
		time.Sleep(time.Hour)
		s.comeBack(nil, 3)
		_, err = f.list(t.Context())
		assert.NilError(t, err)
		assertOut("a", true)
		s.put(store.Entry{Key: "op/out/a", Value: []byte("{}")}) // again
		time.Sleep(eraSettlingPeriod)
		_, err = f.list(t.Context())
		assert.NilError(t, err)
		assertOut("a", true)
		assertOut("b", false)
	})
}

// Guards against a zone that gets flows although it is still out of service: a balancer that starts after the store has come
// back reads a copy without the key, and its later revision must not tell the others that the zone is in service.
func TestZoneStaysOutBesideRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		running, f, runningFetcher := newOperatorState(s)
		s.put(store.Entry{Key: "op/out/a", Value: []byte("{}")})
		_, err := f.list(t.Context())
		assert.NilError(t, err)
		time.Sleep(time.Hour)
		s.comeBack(nil, 3)
		s.put(store.Entry{Key: "op/config", Value: []byte{1}})
		started, f, startedFetcher := newOperatorState(s)
		f.settlingPeriod, f.settled = eraSettlingPeriod, started.operatorSettled.add
		_, err = f.list(t.Context())
		assert.NilError(t, err)
		exchange := func(want bool) {
			t.Helper()
			for range 3 {
				fetchFrom(t, startedFetcher, running)
				fetchFrom(t, runningFetcher, started)
			}
			for name, state := range map[string]*localState{"running": running, "started": started} {
				out, _ := state.board.ZoneOut("a")
				assert.Equal(t, out, want, name)
			}
		}
		exchange(true)
		time.Sleep(eraSettlingPeriod)
		_, err = f.list(t.Context())
		assert.NilError(t, err)
		exchange(false)
	})
}

// Guards against a process that starts in the gap and serves by the older configuration of the copy, although others still have
// the newer one.
func TestStartedProcessGetsLostConfiguration(t *testing.T) {
	s := newFakeStore()
	running, f, runningFetcher := newOperatorState(s)
	s.put(store.Entry{Key: "op/config", Value: []byte{1}})
	_, err := f.list(t.Context())
	assert.NilError(t, err)
	copied, copiedAt := maps.Clone(s.entries), s.revision
	s.put(store.Entry{Key: "op/config", Value: []byte{2}})
	_, err = f.list(t.Context())
	assert.NilError(t, err)
	s.comeBack(copied, copiedAt)
	started, startedFollower, startedFetcher := newOperatorState(s)
	for _, f := range []*follower{f, startedFollower} {
		_, err = f.list(t.Context())
		assert.NilError(t, err)
	}
	fetchFrom(t, runningFetcher, started)
	fetchFrom(t, startedFetcher, running)
	assert.Equal(t, running.Table().Version(), uint64(2))
	assert.Equal(t, started.Table().Version(), uint64(2))
	assert.Assert(t, running.previousTable() != nil)
	previous := running.previousTable()
	s.put(store.Entry{Key: "op/config", Value: []byte{2}}) // again
	_, err = f.list(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, running.Table().Revision(), uint64(s.revision))
	assert.Equal(t, running.previousTable(), previous, "open flows may follow the table before")
}

// Guards against a balancer that learns of a new era late, although other processes know of it: its watch waits for a change
// after a number that the store has not reached again.
func TestFollowerListsInNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.revision = store.NewRevision(1, 10)
		s.put(store.Entry{Key: "a", Value: []byte("1")})
		s.silent = true
		f, applied := runFollower(t, s)
		synctest.Wait()
		s.comeBack(nil, 5)
		s.set(func() { s.put(store.Entry{Key: "b", Value: []byte("1")}) })
		f.expected.add(uint64(store.NewRevision(2, 6)))
		assert.Equal(t, f.interruptStaleWatch(time.Now()), reasonNewEra)
		synctest.Wait()
		assert.DeepEqual(t, applied, map[string]string{"b": "1"})
		assert.Equal(t, f.interruptStaleWatch(time.Now()), "", "listed in the new era")
	})
}

// Guards against the older of two configurations at one revision, which was compressed before the newer one arrived.
func TestCompressedConfigOfEachVersion(t *testing.T) {
	var c compressedConfig
	for version, text := range []string{"older", "newer"} {
		e := EntryState{Value: []byte(strings.Repeat(text, minCompressed)), Revision: 7, version: uint64(version)}
		want := e.Value
		c.shrink(&e, StateArgs{Compressed: true})
		assert.Assert(t, e.Compressed)
		got, err := e.decompress()
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, want), "%s", text)
	}
}

// Guards against states that differ for good after returns of the store, in any order of changes, lists, fetches and
// restarts, and against a configuration that reverts in a running process.
func TestStatesConvergeOverEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFakeStore()
		zones := []string{"a", "b"}
		out, version := map[string]bool{}, byte(0)
		configure := func() { s.put(store.Entry{Key: "op/config", Value: []byte{version}}) }
		setZone := func(zone string) { s.put(store.Entry{Key: "op/out/" + zone, Value: []byte("{}"), Deleted: !out[zone]}) }
		writeAgain := func() {
			configure()
			for _, zone := range zones {
				setZone(zone)
			}
		}
		type process struct {
			state   *localState
			f       *follower // nil for an agent
			fetcher *stateFetcher
		}
		start := func(isBalancer bool) process {
			state, f, fetcher := newOperatorState(s)
			f.settlingPeriod, f.settled = time.Hour, state.operatorSettled.add
			if !isBalancer {
				f = nil
			}
			return process{state, f, fetcher}
		}
		processes := []process{start(true), start(true), start(false), start(false)}
		list := func(p process) {
			if p.f != nil {
				_, err := p.f.list(t.Context())
				assert.NilError(t, err)
			}
		}
		fetch := func(to, from process) {
			if to.f == nil && from.f == nil {
				return // Agents do not fetch from each other.
			}
			to.fetcher.onVersion(testAddress, from.state.operatorVersion())
			select {
			case <-to.fetcher.due:
				var reply StateReply
				assert.NilError(t, (&peerService{from.state}).State(to.fetcher.args(), &reply))
				to.fetcher.applyReply(reply, testAddress)
			default:
			}
		}
		version++
		configure()
		copied, copiedAt := maps.Clone(s.entries), s.revision
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			p := rapid.IntRange(0, len(processes)-1).Draw(t, "process")
			before := processes[p].state.Table().Version()
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				zone := rapid.SampledFrom(zones).Draw(t, "zone")
				out[zone] = !out[zone]
				setZone(zone)
			case 1:
				version++
				configure()
			case 2, 3:
				list(processes[p])
			case 4:
				fetch(processes[p], processes[rapid.IntRange(0, len(processes)-1).Draw(t, "from")])
			case 5:
				copied, copiedAt = maps.Clone(s.entries), s.revision
			case 6:
				s.comeBack(copied, copiedAt)
				copied, copiedAt = maps.Clone(s.entries), s.revision
				if rapid.Bool().Draw(t, "write again at once") {
					writeAgain()
				}
			case 7:
				processes[p] = start(processes[p].f != nil)
				before = 0
			}
			assert.Assert(t, processes[p].state.Table().Version() >= before, "the configuration has reverted")
		}
		writeAgain()
		for range 3 {
			for _, to := range processes {
				if to.f != nil {
					to.f.settlingPeriod = 0
				}
				list(to)
				for _, from := range processes {
					fetch(to, from)
				}
			}
		}
		var want []string
		for _, zone := range slices.Sorted(maps.Keys(out)) {
			if out[zone] {
				want = append(want, zone)
			}
		}
		for i, p := range processes {
			assert.DeepEqual(t, p.state.zonesOut(), want)
			assert.Equal(t, p.state.Table().Version(), uint64(version), "process %d", i)
		}
	})
}

// Guards against an entry that is written again only at the next renewal, and against a herd, when a balancer tells of a new
// era of the store.
func TestRegistrarNoticesEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.revision = store.NewRevision(1, 10)
		r := newTestRegistrar(s)
		writes := 0
		r.onWrite = func(entryRevisions) { writes++ }
		runRegistrarUntilEnd(t, r)
		r.onBackendSeen()
		synctest.Wait()
		s.comeBack(nil, 5)
		s.set(func() { clear(s.leases) })
		inNewEra := uint64(store.NewRevision(2, 5))
		for range 100 {
			r.noticeEra(inNewEra)
		}
		time.Sleep(eraSpread)
		synctest.Wait()
		assert.Equal(t, writes, 2)
		_, ok := s.agent(t)
		assert.Assert(t, ok)
		calls := s.callCount()
		r.noticeEra(inNewEra)
		time.Sleep(eraSpread)
		synctest.Wait()
		assert.Equal(t, s.callCount(), calls, "the era is known")
	})
}

var testAddress = netip.MustParseAddrPort("10.0.0.1:7720")
