package cmd

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/internal/settings"
	standin "github.com/bramleymast/bramleymast/internal/standin/store"
	"github.com/bramleymast/bramleymast/internal/storeclient"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// session runs commands one after another against a stand-in store over HTTP and records their output for a golden file.
type session struct {
	t         *testing.T
	env       environment
	store     *standin.Server
	wrapStore func(store.Store) store.Store
	processes []operator.Process
	// appliedRevisions holds the revisions of outdated processes by process id; these processes do not answer Counters.
	appliedRevisions map[string]store.Revision
	operations       int
	dir              string
	output           bytes.Buffer
}

const ordersFile = `{
  "service": "orders",
  "addresses": ["10.0.0.1:443"],
  "zones": ["zone-a", "zone-b"],
  "backend": {"slots": 2},
  "cold_start": {"slots": 1},
  "change": {"min_backends_in_service": 2},
  "non_idempotent": "ticket"
}
`

func newSession(t *testing.T) *session {
	t.Helper()
	dir, err := os.Getwd()
	assert.NilError(t, err)
	t.Chdir(t.TempDir())
	s := &session{t: t, dir: dir, store: &standin.Server{}, wrapStore: func(st store.Store) store.Store { return st }}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	client := storeclient.New(server.URL)
	t.Cleanup(client.Close)
	s.env = environment{
		out: &s.output, errOut: &s.output,
		now: func() time.Time { return now },
		sleep: func(ctx context.Context, d time.Duration) error {
			now = now.Add(d)
			return ctx.Err()
		},
		newOperationID: func() string { s.operations++; return fmt.Sprintf("op-%d", s.operations) },
		openStore:      func(settings.Operator) store.Store { return s.wrapStore(client) },
		openStatus: func(settings.Operator) (operator.StatusSource, error) {
			if s.processes == nil {
				return nil, nil
			}
			return s, nil
		},
	}
	for _, author := range []string{"ann", "ben"} {
		s.writeFile(author+".json", fmt.Sprintf(`{"store_url": %q, "author": %q}`, server.URL, author))
	}
	s.writeFile("orders.json", ordersFile)
	return s
}

func (s *session) writeFile(name, text string) {
	assert.NilError(s.t, os.WriteFile(name, []byte(text), 0o600))
}

// run runs a command line, records the output and the exit code, and returns the output.
func (s *session) run(line string, more ...string) string {
	fmt.Fprintf(&s.output, "$ bramleymast %s\n", strings.Join(append([]string{line}, more...), " "))
	before := s.output.Len()
	code := execute(context.Background(), append(strings.Fields(line), more...), s.env)
	output := string(s.output.Bytes()[before:])
	fmt.Fprintf(&s.output, "exit code %d\n\n", code)
	return output
}

func (s *session) assertGolden() {
	golden.Assert(s.t, s.output.String(), filepath.Join(s.dir, "testdata", s.t.Name()+".golden"))
}

// Processes returns the simulated balancers and agents.
func (s *session) Processes(context.Context) ([]operator.Process, error) { return s.processes, nil }

// AppliedRecords returns a fixed list of records that a balancer has applied.
func (s *session) AppliedRecords(context.Context) ([]operator.AppliedRecord, error) {
	return []operator.AppliedRecord{
		{Kind: "contract", Name: "orders", Revision: 1},
		{Kind: "zone", Name: "zone-a", Revision: 2, Out: true, Author: "ann", Reason: "power work"},
	}, nil
}

// Progress reports the newest revision for every process, except for the outdated processes in appliedRevisions.
func (s *session) Progress(ctx context.Context, balancers []netip.AddrPort, key string) []operator.ProgressReply {
	e, err := s.store.Get(ctx, key)
	all := make([]operator.Progress, 0, len(s.processes))
	for _, p := range s.processes {
		applied := e.Revision
		if old, ok := s.appliedRevisions[p.ID]; ok {
			applied = old
		}
		all = append(all, operator.Progress{ID: p.ID, Applied: applied})
	}
	answers := make([]operator.ProgressReply, len(balancers))
	for i := range answers {
		answers[i] = operator.ProgressReply{Progress: all, Err: err}
	}
	return answers
}

// Counters returns the control port of each process as a counter value; the processes in appliedRevisions do not answer.
func (s *session) Counters(_ context.Context, processes []netip.AddrPort) []operator.CountersReply {
	answers := make([]operator.CountersReply, len(processes))
	for i, p := range processes {
		answers[i].Counters = []operator.Counter{
			{Name: "bramleymast_control_refused_total", Reason: "unauthentic", Value: float64(p.Port())},
			{Name: "bramleymast_control_refused_total", Reason: "malformed"},
			{Name: "bramleymast_agent_retries_total", Reason: fmt.Sprintf("reason_%d", p.Port()), Value: 1},
		}
		for _, process := range s.processes {
			if _, outdated := s.appliedRevisions[process.ID]; outdated && process.Control == p {
				answers[i] = operator.CountersReply{Err: context.DeadlineExceeded}
			}
		}
	}
	return answers
}

func (s *session) addProcesses() {
	s.processes = []operator.Process{{Kind: operator.KindBalancer, ID: "lb-1", Zone: "zone-a", State: "serving", Member: true, InService: true}}
	for _, id := range []string{"orders-a1", "orders-a2", "orders-b1"} {
		s.processes = append(s.processes, operator.Process{
			Kind: operator.KindAgent, ID: id, Zone: "zone-" + id[7:8], Service: "orders", State: "ready", Member: true, InService: true,
		})
	}
	for i := range s.processes {
		s.processes[i].Control = netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(1<<i))
	}
}

// lostAnswerStore fails each write to the configuration with ErrUnknownOutcome, and each Get after the first such write
// with ErrUnavailable.
type lostAnswerStore struct {
	store.Store
	written bool
}

func (s *lostAnswerStore) CompareAndSwap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	if !strings.HasPrefix(key, configvalue.Prefix) {
		return s.Store.CompareAndSwap(ctx, key, value, expected, lease)
	}
	s.written = true
	return 0, store.ErrUnknownOutcome
}

func (s *lostAnswerStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if s.written {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}
