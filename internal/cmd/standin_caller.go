package cmd

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/settings"
	"github.com/bramleymast/bramleymast/internal/signals"
	"github.com/bramleymast/bramleymast/internal/standin/backend"
	"github.com/bramleymast/bramleymast/internal/standin/caller"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// readsPerWrite is the mix of a caller of a service that takes writes.
const readsPerWrite = 4

// standinCaller is "standin caller".
type standinCaller struct {
	outputOption
	settings string
}

func (c *standinCaller) declare() *flaggy.Subcommand {
	sc := flaggy.NewSubcommand("caller")
	sc.Description = "runs a stand-in of a caller, which sends requests and checks every response"
	c.settings = "standin-caller.json"
	sc.String(&c.settings, "s", "settings", "settings file of the stand-in")
	c.outputOption.declare(sc)
	sc.AdditionalHelpAppend = `
Examples:
  bramleymast standin caller --settings standin-caller.json
  bramleymast standin caller --settings standin-caller.json --output json

Exit codes: 0 every request was answered, 1 some were not, 2 bad input.`
	return sc
}

func (c *standinCaller) run(ctx context.Context, e environment) int {
	var l finding.List
	c.check(&l)
	if e.badInput(l) {
		return ExitBadInput
	}
	s, err := settings.LoadStandinCaller(c.settings)
	if err != nil {
		e.fail(err)
		return ExitBadInput
	}
	cfg, err := callerConfig(s)
	if err != nil {
		e.fail(err)
		return ExitBadInput
	}
	cfg.Logger = hclog.New(&hclog.LoggerOptions{Name: "standin-caller", Level: hclog.Error, Output: e.errOut})
	received, stop := signals.Notify()
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err = signals.Run(ctx, received, cancel, func(ctx context.Context) error {
		send(ctx, caller.New(cfg), cfg.Kind, s.Requests())
		return nil
	})
	if err != nil {
		e.fail(err)
		return ExitFailure
	}
	return c.report(e, cfg.Tally.Report(), s.Requests())
}

func callerConfig(s settings.StandinCaller) (caller.Config, error) {
	kind, err := backend.ParseKind(s.Service())
	if err != nil {
		return caller.Config{}, err
	}
	authority, err := os.ReadFile(s.CertificateAuthorityFile())
	if err != nil {
		return caller.Config{}, errors.Annotate(err, "cannot read the certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return caller.Config{}, errors.Errorf("%s holds no certificate in PEM", s.CertificateAuthorityFile())
	}
	// The service's certificate names the customer service, because its address may change.
	tlsConfig := &tls.Config{RootCAs: pool, ServerName: s.Service(), MinVersion: tls.VersionTLS13}
	local := netip.IPv6Unspecified()
	if s.Address().Addr().Is4() {
		local = netip.IPv4Unspecified()
	}
	if s.Address().Addr().IsLoopback() {
		local = s.Address().Addr()
	}
	return caller.Config{
		Name: "standin", Service: s.Address(), Local: local, Kind: kind, TLS: tlsConfig, Seed: uint64(s.Seed()),
		Tally: &caller.Tally{}, Deadline: s.Timeout(),
	}, nil
}

// send sends reads and, to a service that takes them, writes.
func send(ctx context.Context, c *caller.Caller, kind backend.Kind, requests int) {
	defer c.Close()
	for i := 0; i < requests && ctx.Err() == nil; i++ {
		id := fmt.Sprintf("standin-%d", i)
		if kind.Writes() && i%(readsPerWrite+1) == readsPerWrite {
			c.Write(ctx, id)
			continue
		}
		c.Read(ctx, id)
	}
}

func (c *standinCaller) report(e environment, r caller.Report, requests int) int {
	if c.json() {
		e.json(r)
	} else {
		e.table([][]string{
			{"REQUESTS", "ANSWERED", "REFUSED, NOT RUN", "UNKNOWN OUTCOME", "FLOWS OPENED"},
			{strconv.Itoa(r.Requests), strconv.Itoa(r.Answered), strconv.Itoa(r.NotRun), strconv.Itoa(r.Unknown), strconv.Itoa(r.FlowsOpened)},
		})
	}
	if r.Answered < requests {
		return ExitFailure
	}
	return ExitSuccess
}
