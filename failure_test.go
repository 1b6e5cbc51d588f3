package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/internal/operator"
	"github.com/bramleymast/bramleymast/internal/standin/backend"
	"github.com/bramleymast/bramleymast/internal/statusclient"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// sigstop pauses the background command that has the given argument. It is resumed at the end of the script.
func sigstop(ts *testscript.TestScript, _ bool, args []string) {
	p := backgroundProcess(ts, args[0])
	ts.Check(p.Signal(syscall.SIGSTOP))
	// A paused process does not handle the signal that ends the background commands of a script.
	ts.Defer(func() { _ = p.Signal(syscall.SIGCONT) })
}

// sigcont resumes the background command that has the given argument.
func sigcont(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(backgroundProcess(ts, args[0]).Signal(syscall.SIGCONT))
}

// backgroundProcess returns the process of the newest background command that has the given argument.
func backgroundProcess(ts *testscript.TestScript, arg string) *os.Process {
	for _, c := range slices.Backward(ts.BackgroundCmds()) {
		if slices.Contains(c.Args, arg) {
			return c.Process
		}
	}
	ts.Fatalf("no background command has the argument %s", arg)
	return nil
}

// setHolder waits until a sample backend server holds a request and sets a variable to its name. The arguments are the
// variable and, for each server, its URL and its name.
func setHolder(ts *testscript.TestScript, _ bool, args []string) {
	var urls []string
	for i := 1; i < len(args); i += 2 {
		urls = append(urls, args[i])
	}
	waitHeldRequest(ts, false, urls)
	for i := 1; i < len(args); i += 2 {
		if fetchCounts(ts, args[i]).Held > 0 {
			ts.Setenv(args[0], args[i+1])
			return
		}
	}
	ts.Fatalf("none of %v holds a request any more", urls)
}

func fetchCounts(ts *testscript.TestScript, url string) backend.Counts {
	resp, err := http.Get(url)
	ts.Check(err)
	defer resp.Body.Close()
	var c backend.Counts
	ts.Check(json.NewDecoder(resp.Body).Decode(&c))
	return c
}

const (
	// orderDeadline is the deadline that the caller of an order sends to the agent.
	orderDeadline = 2 * time.Second
	// orderTimeout is how long a caller waits for the answer to an order or a read.
	orderTimeout = orderDeadline + 500*time.Millisecond
	// outcomeNoAnswer is recorded for an order without an answer.
	outcomeNoAnswer = "none"
)

// ordersKey is the key of the orders in the values of a script.
type ordersKey struct{}

// orders holds the last ticket and the outcomes of the non-idempotent writes of one script, by idempotency key.
type orders struct {
	mu         sync.Mutex
	lastTicket string
	outcomes   map[string][]string
	// running has a channel for each background order, which is closed when its caller has an answer or has timed out.
	running map[string]chan struct{}
}

func scriptOrders(ts *testscript.TestScript) *orders {
	return ts.Value(ordersKey{}).(*orders)
}

// orderAnswer is the answer that a caller received for an order.
type orderAnswer struct {
	// outcome is the outcome header, followed by the status if the backend server answered, such as answered_201.
	outcome string
	ticket  string
}

// callerFlow is one QUIC connection of a caller on a UDP socket of its own.
type callerFlow struct {
	address   string
	socket    *net.UDPConn
	transport *quic.Transport
	conn      *quic.Conn
	client    *http3.ClientConn
}

// openFlow opens a flow to a service address.
func openFlow(ts *testscript.TestScript, address string) (*callerFlow, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(to.Addr(), 0)))
	if err != nil {
		return nil, err
	}
	f := &callerFlow{address: address, socket: socket, transport: &quic.Transport{Conn: socket}}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM([]byte(ts.ReadFile("cert.pem")))
	tlsCfg := &tls.Config{RootCAs: pool, ServerName: "localhost", MinVersion: tls.VersionTLS13}
	f.conn, err = f.transport.Dial(context.Background(), net.UDPAddrFromAddrPort(to), http3.ConfigureTLSConfig(tlsCfg),
		&quic.Config{HandshakeIdleTimeout: time.Second, InitialPacketSize: 1252, DisablePathMTUDiscovery: true})
	if err != nil {
		f.close()
		return nil, err
	}
	f.client = (&http3.Transport{}).NewClientConn(f.conn)
	return f, nil
}

func (f *callerFlow) close() {
	if f.conn != nil {
		_ = f.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
	_ = f.transport.Close()
	_ = f.socket.Close()
}

// sendOrder sends an order, with a ticket unless it is empty. It returns an error if no complete answer arrives in time.
func (f *callerFlow) sendOrder(key, ticket string) (orderAnswer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	body := strings.NewReader(`{"id":"` + key + `"}`)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+f.address+"/orders", body)
	if err != nil {
		return orderAnswer{}, err
	}
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Bramleymast-Deadline-Ms", strconv.FormatInt(orderDeadline.Milliseconds(), 10))
	if ticket != "" {
		req.Header.Set("Bramleymast-Ticket", ticket)
	}
	resp, err := f.client.RoundTrip(req)
	if err != nil {
		return orderAnswer{outcome: outcomeNoAnswer}, err
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return orderAnswer{outcome: outcomeNoAnswer}, err
	}
	a := orderAnswer{outcome: resp.Header.Get("Bramleymast-Outcome"), ticket: resp.Header.Get("Bramleymast-Ticket")}
	if a.outcome == "answered" {
		a.outcome += "_" + strconv.Itoa(resp.StatusCode)
	}
	return a, nil
}

// addOutcome records the outcome that the caller of an order received.
func (o *orders) addOutcome(key, outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcomes[key] = append(o.outcomes[key], outcome)
}

// startOrder requests a ticket and sends an order with it on the same flow in the background.
func startOrder(ts *testscript.TestScript, _ bool, args []string) {
	o, key := scriptOrders(ts), args[1]
	f, err := openFlow(ts, args[0])
	ts.Check(err)
	a, err := f.sendOrder(key, "")
	ts.Check(err)
	if a.ticket == "" || a.outcome != "not_run" {
		ts.Fatalf("the request without a ticket got ticket %q and outcome %s, not a ticket and not_run", a.ticket, a.outcome)
	}
	done := make(chan struct{})
	o.lastTicket = a.ticket
	o.running[key] = done
	go func() {
		defer close(done)
		defer f.close()
		a, _ := f.sendOrder(key, a.ticket)
		o.addOutcome(key, a.outcome)
	}()
	ts.Defer(func() { <-done })
}

// waitOrder waits until the caller of a background order has received its answer or has timed out.
func waitOrder(ts *testscript.TestScript, _ bool, args []string) {
	<-scriptOrders(ts).running[args[0]]
}

// retryOrder repeats an order with its key and the last issued ticket on new flows until an agent answers. The outcome
// must match the third argument.
func retryOrder(ts *testscript.TestScript, _ bool, args []string) {
	o, key := scriptOrders(ts), args[1]
	end := time.Now().Add(waitTimeout)
	for time.Now().Before(end) {
		f, err := openFlow(ts, args[0])
		if err != nil {
			continue
		}
		a, err := f.sendOrder(key, o.lastTicket)
		f.close()
		o.addOutcome(key, a.outcome)
		if err != nil {
			continue
		}
		if !regexp.MustCompile(args[2]).MatchString(a.outcome) {
			ts.Fatalf("the outcome of order %s is %s, which does not match %s", key, a.outcome, args[2])
		}
		return
	}
	ts.Fatalf("no agent has answered order %s within %v", key, waitTimeout)
}

// requireAtMostOnce fails if the sample backend servers have executed an order more than once, or at all although its
// caller received the outcome not_run.
func requireAtMostOnce(ts *testscript.TestScript, _ bool, args []string) {
	o, key, executed := scriptOrders(ts), args[0], 0
	for _, u := range args[1:] {
		executed += fetchCounts(ts, u).Executed[key]
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	ts.Logf("order %s: executed %d times, outcomes %v", key, executed, o.outcomes[key])
	if executed > 1 {
		ts.Fatalf("order %s was executed %d times", key, executed)
	}
	if executed > 0 && slices.Contains(o.outcomes[key], "not_run") {
		ts.Fatalf("order %s was executed although an answer said not_run: %v", key, o.outcomes[key])
	}
}

// read requests one batch of orders and requires an answer with the status 200.
func (f *callerFlow) read() error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+f.address+"/batches/1", http.NoBody)
	if err != nil {
		return err
	}
	resp, err := f.client.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if o := resp.Header.Get("Bramleymast-Outcome"); o != "answered" || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("outcome %s with status %d", o, resp.StatusCode)
	}
	return nil
}

const (
	// readerCount is the number of background callers. Half of them keep their flows as long as possible.
	readerCount = 8
	// readsPerFlow is the number of reads after which the other half open a new flow.
	readsPerFlow = 20
	// readPause keeps the load of one background caller below one slot.
	readPause = 20 * time.Millisecond
)

// startReaders starts background callers that read, each on its own flows, until the end of the script.
func startReaders(ts *testscript.TestScript, _ bool, args []string) {
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range readerCount {
		n := readsPerFlow
		if i%2 == 0 {
			n = math.MaxInt
		}
		wg.Go(func() {
			for {
				readOnFlow(ts, args[0], n, stop)
				select {
				case <-stop:
					return
				default:
				}
			}
		})
	}
	ts.Defer(func() {
		close(stop)
		wg.Wait()
	})
}

// readOnFlow opens a flow and reads on it n times, or until a read fails or stop is closed.
func readOnFlow(ts *testscript.TestScript, address string, n int, stop <-chan struct{}) {
	f, err := openFlow(ts, address)
	if err != nil {
		return
	}
	defer f.close()
	for range n {
		if f.read() != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(readPause):
		}
	}
}

// readOnNewFlows opens a number of flows one after another and requires an answer to a read on each of them.
func readOnNewFlows(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	for range n {
		f, err := openFlow(ts, args[0])
		ts.Check(err)
		err = f.read()
		f.close()
		ts.Check(err)
	}
}

// sleep pauses the script for a duration, such as the 5 s within which a change must be in force.
func sleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// setRequestCount sets a variable to the number of requests that a sample backend server has received.
func setRequestCount(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], strconv.Itoa(fetchCounts(ts, args[1]).Requests))
}

// requireNoNewRequest fails if a sample backend server has received a request since setRequestCount.
func requireNoNewRequest(ts *testscript.TestScript, _ bool, args []string) {
	if now := strconv.Itoa(fetchCounts(ts, args[1]).Requests); now != ts.Getenv(args[0]) {
		ts.Fatalf("%s has received %s requests, and had received %s at the mark %s", args[1], now, ts.Getenv(args[0]), args[0])
	}
}

// waitNewRequest waits until a sample backend server has received a request since setRequestCount.
func waitNewRequest(ts *testscript.TestScript, _ bool, args []string) {
	end := time.Now().Add(waitTimeout)
	for time.Now().Before(end) {
		if strconv.Itoa(fetchCounts(ts, args[1]).Requests) != ts.Getenv(args[0]) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%s has received no request since the mark %s within %v", args[1], args[0], waitTimeout)
}

// reportedRevisionsKey is the key of the reported revisions in the values of a script.
type reportedRevisionsKey struct{}

// reportedRevisions holds the highest revision that each balancer has reported for itself and for each agent.
type reportedRevisions map[reportKey]store.Revision

// reportKey identifies the reports of one balancer, by its control address, about one process.
type reportKey struct {
	balancer netip.AddrPort
	id       string
}

// record notes what balancers report, answers[i] coming from balancers[i], and returns the highest revision reported for
// each process. The error names a process for which a balancer reports an older revision than before.
func (r reportedRevisions) record(service string, balancers []netip.AddrPort, answers []operator.ProgressReply) (map[string]store.Revision, error) {
	current := make(map[string]store.Revision)
	for i, a := range answers {
		for _, p := range a.Progress {
			k := reportKey{balancer: balancers[i], id: p.ID}
			if p.Applied < r[k] {
				return nil, errors.Errorf("%s has returned from revision %d of %s to the older revision %d, as %v reports",
					p.ID, r[k], service, p.Applied, balancers[i])
			}
			r[k] = p.Applied
			current[p.ID] = max(current[p.ID], p.Applied)
		}
	}
	return current, nil
}

var acceptedPattern = regexp.MustCompile(`^accepted: .* at revision (\d+)`)

// setAcceptedRevision sets a variable to the revision at which the last command reported a change as accepted.
func setAcceptedRevision(ts *testscript.TestScript, _ bool, args []string) {
	m := acceptedPattern.FindStringSubmatch(ts.ReadFile("stdout"))
	if m == nil {
		ts.Fatalf("the last command did not report an accepted change")
	}
	ts.Setenv(args[0], m[1])
}

// waitApplied waits until processes have applied a revision of a contract, and fails if one returns to an older revision.
// The arguments are the contract, the revision, the control addresses of the balancers joined by commas, and the processes.
func waitApplied(ts *testscript.TestScript, _ bool, args []string) {
	want := args[1]
	var last map[string]store.Revision
	end := time.Now().Add(waitTimeout)
	for time.Now().Before(end) {
		last = pollApplied(ts, args[0], args[2])
		if !slices.ContainsFunc(args[3:], func(id string) bool { return strconv.FormatUint(uint64(last[id]), 10) != want }) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("not all of %v have applied revision %s of %s within %v; the last reports are %v", args[3:], want, args[0], waitTimeout, last)
}

// requireNoOlderRevision polls for a duration and fails if a process returns to an older revision of a contract.
func requireNoOlderRevision(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[2])
	ts.Check(err)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		pollApplied(ts, args[0], args[1])
	}
}

// pollApplied returns the highest revision of a contract that any balancer reports for each process. It fails the script
// if a balancer reports an older revision than before.
func pollApplied(ts *testscript.TestScript, service, balancers string) map[string]store.Revision {
	key, err := hex.DecodeString(strings.TrimSpace(ts.ReadFile("shared.key")))
	ts.Check(err)
	var addresses []netip.AddrPort
	for b := range strings.SplitSeq(balancers, ",") {
		a, err := netip.ParseAddrPort(b)
		ts.Check(err)
		addresses = append(addresses, a)
	}
	answers := statusclient.New(addresses, key).Progress(context.Background(), addresses, "config/contracts/"+service)
	current, err := ts.Value(reportedRevisionsKey{}).(reportedRevisions).record(service, addresses, answers)
	ts.Check(err)
	return current
}

// TestReportedRevisions guards the check of the scripts: a balancer that resumes with an older revision is compared with
// its own earlier reports only, also when the script asks another list of balancers than before.
func TestReportedRevisions(t *testing.T) {
	lb1, lb2, lb3 := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3")
	report := func(revisions ...store.Revision) (answers []operator.ProgressReply) {
		for _, r := range revisions {
			answers = append(answers, operator.ProgressReply{Progress: []operator.Progress{{ID: "orders-1", Applied: r}}})
		}
		return answers
	}
	reported := make(reportedRevisions)
	_, err := reported.record("orders", []netip.AddrPort{lb1, lb2}, report(1, 1))
	assert.NilError(t, err)
	_, err = reported.record("orders", []netip.AddrPort{lb1, lb3}, report(5, 5))
	assert.NilError(t, err)
	current, err := reported.record("orders", []netip.AddrPort{lb1, lb2, lb3}, report(5, 1, 5))
	assert.NilError(t, err)
	assert.Equal(t, current["orders-1"], store.Revision(5))

	_, err = reported.record("orders", []netip.AddrPort{lb3}, report(1))
	assert.ErrorContains(t, err, "orders-1 has returned from revision 5 of orders to the older revision 1")
}
