package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
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
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bramleymast/bramleymast/internal/standin/backend"
)

// sigstop pauses the background command that has the given argument; the end of the script continues it.
func sigstop(ts *testscript.TestScript, _ bool, args []string) {
	p := background(ts, args[0])
	ts.Check(p.Signal(syscall.SIGSTOP))
	// A stopped process does not take the signal that ends the commands of a script.
	ts.Defer(func() { _ = p.Signal(syscall.SIGCONT) })
}

// sigcont continues the background command that has the given argument.
func sigcont(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(background(ts, args[0]).Signal(syscall.SIGCONT))
}

// background returns the newest background command that has an argument.
func background(ts *testscript.TestScript, arg string) *os.Process {
	for _, c := range slices.Backward(ts.BackgroundCmds()) {
		if slices.Contains(c.Args, arg) {
			return c.Process
		}
	}
	ts.Fatalf("no background command has the argument %s", arg)
	return nil
}

// holder sets a variable to the name behind the first URL of a sample backend server that holds a request.
func holder(ts *testscript.TestScript, _ bool, args []string) {
	var urls []string
	for i := 1; i < len(args); i += 2 {
		urls = append(urls, args[i])
	}
	waitHeld(ts, false, urls)
	for i := 1; i < len(args); i += 2 {
		if counts(ts, args[i]).Held > 0 {
			ts.Setenv(args[0], args[i+1])
			return
		}
	}
	ts.Fatalf("%v hold no request any more", urls)
}

func counts(ts *testscript.TestScript, url string) backend.Counts {
	resp, err := http.Get(url)
	ts.Check(err)
	defer resp.Body.Close()
	var c backend.Counts
	ts.Check(json.NewDecoder(resp.Body).Decode(&c))
	return c
}

const (
	// orderDeadline is how long the agent may work on an order.
	orderDeadline = 2 * time.Second
	// orderTimeout is when the caller of an order gives up.
	orderTimeout = orderDeadline + 500*time.Millisecond
	// outcomeNone stands for an order without an answer.
	outcomeNone = "none"
)

// ordersKey is the key of the orders among the values of a script.
type ordersKey struct{}

// orders are the non-idempotent writes of one script.
type orders struct {
	mu       sync.Mutex
	ticket   string
	outcomes map[string][]string
	running  map[string]chan struct{}
}

func ordersOf(ts *testscript.TestScript) *orders {
	return ts.Value(ordersKey{}).(*orders)
}

// answer is what a caller got for an order.
type answer struct {
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

// order sends an order, with a ticket unless it is empty; an error means that there was no answer in time.
func (f *callerFlow) order(key, ticket string) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	body := strings.NewReader(`{"id":"` + key + `"}`)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+f.address+"/orders", body)
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Bramleymast-Deadline-Ms", strconv.FormatInt(orderDeadline.Milliseconds(), 10))
	if ticket != "" {
		req.Header.Set("Bramleymast-Ticket", ticket)
	}
	resp, err := f.client.RoundTrip(req)
	if err != nil {
		return answer{outcome: outcomeNone}, err
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return answer{outcome: outcomeNone}, err
	}
	return answer{outcome: resp.Header.Get("Bramleymast-Outcome"), ticket: resp.Header.Get("Bramleymast-Ticket")}, nil
}

// note records what the caller of an order was told.
func (o *orders) note(key, outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcomes[key] = append(o.outcomes[key], outcome)
}

// beginOrder fetches a ticket and sends an order with it on the same flow in the background.
func beginOrder(ts *testscript.TestScript, _ bool, args []string) {
	o, key := ordersOf(ts), args[1]
	f, err := openFlow(ts, args[0])
	ts.Check(err)
	a, err := f.order(key, "")
	ts.Check(err)
	if a.ticket == "" || a.outcome != "not_run" {
		ts.Fatalf("no ticket: outcome %s", a.outcome)
	}
	done := make(chan struct{})
	o.ticket = a.ticket
	o.running[key] = done
	go func() {
		defer close(done)
		defer f.close()
		a, _ := f.order(key, a.ticket)
		o.note(key, a.outcome)
	}()
	ts.Defer(func() { <-done })
}

// endOrder waits until the caller of an order in the background has its answer or has given up.
func endOrder(ts *testscript.TestScript, _ bool, args []string) {
	<-ordersOf(ts).running[args[0]]
}

// retryOrder repeats an order with its ticket and key on new flows until an agent answers, and matches the outcome.
func retryOrder(ts *testscript.TestScript, _ bool, args []string) {
	o, key := ordersOf(ts), args[1]
	end := time.Now().Add(waitTime)
	for time.Now().Before(end) {
		f, err := openFlow(ts, args[0])
		if err != nil {
			continue
		}
		a, err := f.order(key, o.ticket)
		f.close()
		o.note(key, a.outcome)
		if err != nil {
			continue
		}
		if !regexp.MustCompile(args[2]).MatchString(a.outcome) {
			ts.Fatalf("the outcome of order %s is %s, not %s", key, a.outcome, args[2])
		}
		return
	}
	ts.Fatalf("no agent answers order %s", key)
}

// atMostOnce compares the executions of an order at all sample backend servers with what its caller was told.
func atMostOnce(ts *testscript.TestScript, _ bool, args []string) {
	o, key, executed := ordersOf(ts), args[0], 0
	for _, u := range args[1:] {
		executed += counts(ts, u).Executed[key]
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
