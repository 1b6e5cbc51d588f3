package cmd

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/settings"
	"github.com/bramleymast/bramleymast/internal/standin/backend"
	"github.com/bramleymast/bramleymast/internal/standin/caller"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// standinCallerCommand implements "standin caller".
type standinCallerCommand struct {
	settings   string
	serverName string
	writes     bool
	bytes      int64
	rate       int64
}

func (c *standinCallerCommand) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("caller")
	sc.Description = "runs a sample caller over HTTP/3 and prints what it has counted as JSON"
	c.settings, c.serverName = "standin-caller.json", "localhost"
	sc.String(&c.settings, "s", "settings", "settings file of the stand-in")
	sc.String(&c.serverName, "", "server-name", "name that the service's certificate must have")
	sc.Bool(&c.writes, "", "writes", "send non-idempotent writes")
	sc.Int64(&c.bytes, "", "bytes", "send downloads of this size in bytes")
	sc.Int64(&c.rate, "", "rate", "bytes a second of a download; 0 means as fast as possible")
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast standin caller --settings standin-caller.json --writes
  bramleymast standin caller --settings standin-caller.json --bytes 67108864

The exit code is 1 unless every request was answered completely.`
	return sc
}

func (c *standinCallerCommand) run(ctx context.Context, e environment) int {
	s, err := settings.LoadStandinCaller(c.settings)
	if err != nil {
		e.printError(err)
		return ExitBadInput
	}
	kind, err := backend.ParseKind(s.Service())
	if err != nil {
		e.printError(err)
		return ExitBadInput
	}
	if e.printFindings(c.findings(kind)) {
		return ExitBadInput
	}
	pem, err := os.ReadFile(s.CertificateAuthorityFile())
	if err != nil {
		e.printError(errors.Annotate(err, "cannot read the trusted certificates"))
		return ExitBadInput
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	tally := &caller.Tally{}
	cl := caller.New(caller.Config{
		Name: "caller", Service: s.Address(), Local: s.Address().Addr(), Kind: kind, Seed: uint64(s.Seed()), Tally: tally,
		TLS:      &tls.Config{RootCAs: pool, ServerName: c.serverName, MinVersion: tls.VersionTLS13},
		Deadline: s.Timeout(),
		Load:     c.load(),
		Logger:   hclog.New(&hclog.LoggerOptions{Name: "standin-caller", Output: e.errOut}),
	})
	defer cl.Close()
	start := time.Now()
	cl.Send(ctx, s.Requests())
	return c.print(e, tally.Report(), time.Since(start))
}

func (c *standinCallerCommand) findings(kind backend.Kind) finding.List {
	var l finding.List
	if c.writes && !kind.Writes() {
		l.Addf("--writes", "only with the service orders or summaries", "is given with %s", kind)
	}
	if c.bytes < 0 {
		l.Addf("--bytes", "0 or more", "is %d", c.bytes)
	}
	if c.rate < 0 {
		l.Addf("--rate", "0 or more", "is %d", c.rate)
	}
	return l
}

func (c *standinCallerCommand) load() caller.Load {
	switch {
	case c.bytes > 0:
		return caller.Load{DownloadShare: 1, DownloadBytes: c.bytes, DownloadRate: c.rate}
	case c.writes:
		return caller.Load{WriteShare: 1}
	default:
		return caller.Load{}
	}
}

// callerJSON is the output of "standin caller".
type callerJSON struct {
	caller.Report
	ElapsedMS int64 `json:"elapsed_ms"`
}

func (c *standinCallerCommand) print(e environment, r caller.Report, elapsed time.Duration) int {
	var b strings.Builder
	enc := json.NewEncoder(&b)
	enc.SetIndent("", "  ")
	if err := enc.Encode(callerJSON{Report: r, ElapsedMS: elapsed.Milliseconds()}); err != nil {
		e.printError(err)
		return ExitFailure
	}
	_, _ = e.out.Write([]byte(b.String()))
	if r.Answered != r.Requests || r.Corrupt > 0 {
		return ExitFailure
	}
	return ExitSuccess
}
