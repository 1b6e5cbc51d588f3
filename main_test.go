package main

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bramleymast/bramleymast/internal/cmd"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"bramleymast": func() { os.Exit(cmd.Run(context.Background())) },
	})
}

// Guards against faults that the in-process tests of internal/cmd cannot show: exit codes, help and signals of the built
// program, and the behaviour of balancers and agents in processes of their own.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/scripts",
		RequireExplicitExec: true,
		Setup:               setup,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"expand":     expandFiles,
			"waitfor":    waitFor,
			"exits":      requireExitCode,
			"sigterm":    sigterm,
			"helps":      requireHelp,
			"until":      waitOutput,
			"put":        sendPut,
			"waitmatch":  waitMatch,
			"waitheld":   waitHeldRequest,
			"sigstop":    sigstop,
			"sigcont":    sigcont,
			"holder":     setHolder,
			"beginorder": startOrder,
			"endorder":   waitOrder,
			"retryorder": retryOrder,
			"atmostonce": requireAtMostOnce,
			"remove":     sendDelete,
			"revision":   setAcceptedRevision,
			"applied":    waitApplied,
			"noreturn":   requireNoOlderRevision,
			"beginreads": startReaders,
			"reads":      readOnNewFlows,
			"pause":      sleep,
			"mark":       setRequestCount,
			"atmark":     requireNoNewRequest,
			"abovemark":  waitNewRequest,
		},
	})
}

// portsPerScript is the number of free ports that a script gets as $P1, $P2 and so on.
const portsPerScript = 20

// The ports are below the ephemeral range, so that no outgoing connection can take a chosen port before its process
// binds it. A test process tries all ports before it repeats one, and process ids that differ by less than 40 start at
// different ports.
const (
	firstPort       = 2000
	portCount       = 8000
	portsPerProcess = 200
)

var triedPorts atomic.Int32

// freePort listens on a free port.
func freePort() (net.Listener, error) {
	var l net.Listener
	var err error
	for range portCount {
		n := os.Getpid()*portsPerProcess + int(triedPorts.Add(1))
		l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+n%portCount))
		if err == nil {
			return l, nil
		}
	}
	return nil, err
}

// setup provides a script with free ports, the path of the repository, a shared key and a certificate.
func setup(e *testscript.Env) error {
	for i := range portsPerScript {
		l, err := freePort()
		if err != nil {
			return err
		}
		defer l.Close()
		e.Setenv(fmt.Sprintf("P%d", i+1), strconv.Itoa(l.Addr().(*net.TCPAddr).Port))
	}
	root, err := os.Getwd()
	if err != nil {
		return err
	}
	e.Setenv("REPO_ROOT", root)
	e.Values[reportedRevisionsKey{}] = reportedRevisions{}
	e.Values[ordersKey{}] = &orders{outcomes: make(map[string][]string), running: make(map[string]chan struct{})}
	key := make([]byte, 32)
	_, _ = rand.Read(key)
	if err := os.WriteFile(e.Cd+"/shared.key", []byte(hex.EncodeToString(key)+"\n"), 0o600); err != nil {
		return err
	}
	return writeCertificate(e.Cd)
}

func writeCertificate(dir string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{"localhost", "orders"},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	err = os.WriteFile(dir+"/cert.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600)
	if err != nil {
		return err
	}
	return os.WriteFile(dir+"/key.pem", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600)
}

// expandFiles replaces ${NAME} in files with the script's variables.
func expandFiles(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		file := ts.MkAbs(name)
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(file, []byte(text), 0o600))
	}
}

// waitTimeout fails a script that makes no progress; no script checks how long a step takes.
const waitTimeout = 30 * time.Second

// waitFor polls a URL until it answers with the given status.
func waitFor(ts *testscript.TestScript, _ bool, args []string) {
	end := time.Now().Add(waitTimeout)
	for time.Now().Before(end) {
		resp, err := http.Get(args[0])
		if err == nil {
			_ = resp.Body.Close()
			if strconv.Itoa(resp.StatusCode) == args[1] {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%s has not answered with status %s within %v", args[0], args[1], waitTimeout)
}

// commandsPage is the reference page with the help of every command.
const commandsPage = "docs/reference/commands.md"

// requireHelp runs a command with --help, which must exit with 0, print examples and match the text on commandsPage.
func requireHelp(ts *testscript.TestScript, _ bool, args []string) {
	requireExitCode(ts, false, append(append([]string{"0"}, args...), "--help"))
	name := strings.Join(args, " ")
	page, err := os.ReadFile(ts.Getenv("REPO_ROOT") + "/" + commandsPage)
	ts.Check(err)
	help := strings.TrimSpace(trailingSpace.ReplaceAllString(ts.ReadFile("stderr"), "\n"))
	help = blankLines.ReplaceAllString(help, "\n\n")
	if !strings.Contains(help, "\nExamples:\n  bramleymast "+name) {
		ts.Fatalf("the help of %s has no example", name)
	}
	if !strings.Contains(string(page), "$ bramleymast "+name+" --help\n"+help+"\n```\n") {
		ts.Fatalf("%s does not show the help of %s", commandsPage, name)
	}
}

var (
	trailingSpace = regexp.MustCompile(`[ \t]+\n`)
	blankLines    = regexp.MustCompile(`\n{3,}`)
)

// waitMatch polls a URL until its answer matches a regular expression.
func waitMatch(ts *testscript.TestScript, _ bool, args []string) {
	waitAnyMatch(ts, args[:1], args[1])
}

// waitHeldRequest polls sample backend servers until one of them holds a request.
func waitHeldRequest(ts *testscript.TestScript, _ bool, args []string) {
	waitAnyMatch(ts, args, `"held":1`)
}

// waitAnyMatch polls URLs until the answer of one of them matches a regular expression.
func waitAnyMatch(ts *testscript.TestScript, urls []string, expression string) {
	want := regexp.MustCompile(expression)
	var got []string
	end := time.Now().Add(waitTimeout)
	for time.Now().Before(end) {
		got = nil
		for _, u := range urls {
			resp, err := http.Get(u)
			if err != nil {
				continue
			}
			b, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if want.Match(b) {
				return
			}
			got = append(got, string(b))
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("no answer of %v has matched %s within %v; the last ones are %q", urls, expression, waitTimeout, got)
}

// waitOutput runs the program with arguments until it succeeds and its output matches a regular expression.
func waitOutput(ts *testscript.TestScript, _ bool, args []string) {
	want := regexp.MustCompile(args[0])
	end := time.Now().Add(waitTimeout)
	for time.Now().Before(end) {
		if ts.Exec("bramleymast", args[1:]...) == nil && want.MatchString(ts.ReadFile("stdout")) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%v has not succeeded with output that matches %s within %v", args[1:], args[0], waitTimeout)
}

// sendPut sends a PUT request, with the named file as its body if there is one, and requires the status 200.
func sendPut(ts *testscript.TestScript, _ bool, args []string) {
	body := ""
	if len(args) > 1 {
		body = ts.ReadFile(args[1])
	}
	send(ts, http.MethodPut, args[0], body)
}

// sendDelete sends a DELETE request and requires the status 200.
func sendDelete(ts *testscript.TestScript, _ bool, args []string) {
	send(ts, http.MethodDelete, args[0], "")
}

func send(ts *testscript.TestScript, method, url, body string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	ts.Check(err)
	resp, err := http.DefaultClient.Do(r)
	ts.Check(err)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("%s %s: %s", method, url, resp.Status)
	}
}

// sigterm sends SIGTERM to the background command that has the given argument.
func sigterm(ts *testscript.TestScript, _ bool, args []string) {
	for _, c := range ts.BackgroundCmds() {
		if slices.Contains(c.Args, args[0]) {
			ts.Check(c.Process.Signal(syscall.SIGTERM))
			return
		}
	}
	ts.Fatalf("no background command has the argument %s", args[0])
}

// requireExitCode runs the program with all arguments but the first, which is the required exit code.
func requireExitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec("bramleymast", args[1:]...)
	code := "0"
	if err != nil {
		code = err.Error()
	}
	if want := args[0]; code != want && code != "exit status "+want {
		ts.Fatalf("%v ended with %q, not with exit code %s", args[1:], code, want)
	}
}
