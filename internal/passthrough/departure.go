package passthrough

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// departureCheckInterval is the interval between checks whether a backend server that leaves has ended. Its last
	// packets have been forwarded by then.
	departureCheckInterval = 100 * time.Millisecond
	// departureConfirmations is how many checks in a row must find no listener: a backend server may close it some
	// milliseconds before it ends.
	departureConfirmations = 3
	// departureCheckTimeout is the timeout of such a check, which stays on the host.
	departureCheckTimeout = 300 * time.Millisecond
	// maxDepartureChecks limits the checks; the platform stops the agent soon after its backend server.
	maxDepartureChecks = 100
)

// absenceDelay is how long an agent waits for the first heartbeat before it checks whether there is a backend server.
const absenceDelay = 300 * time.Millisecond

// checkAbsence finds out whether a starting agent has no backend server beside it: after a loss of power, a backend server
// that had left does not come back. Such an agent would never answer a search, since no heartbeat shows which flows its
// backend server holds.
func (a *Agent) checkAbsence(ctx context.Context) error {
	wait(ctx, absenceDelay)
	if a.awaitNoListener(ctx, func() bool { return !a.backendSeen() }) {
		a.admitter.SetBackendGone(time.Now(), 0)
		a.records.onAbsent()
		a.cfg.Logger.Info("backend server is absent", "address", a.cfg.Backend)
	}
	return nil
}

// backendSeen reports whether the agent has received a heartbeat.
func (a *Agent) backendSeen() bool {
	select {
	case <-a.registrar.backendSeen:
		return true
	default:
		return false
	}
}

// awaitDepartures resets the open flows of a backend server that has announced that it stops, once its process has ended.
//
// A draining backend server closes a flow after its next response, so flows without a request stay open until the
// process ends. Without a reset, the next request on such a flow is lost: its caller waits until the deadline.
func (a *Agent) awaitDepartures(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.departure:
		}
		if a.awaitNoListener(ctx, a.backend.hasLeft) {
			a.resetOpenFlows(time.Now())
		}
	}
}

// awaitNoListener waits until the process of the backend server has ended, and reports whether it has. It gives up when
// expected returns false.
func (a *Agent) awaitNoListener(ctx context.Context, expected func() bool) bool {
	confirmed := 0
	for range maxDepartureChecks {
		if ctx.Err() != nil || !expected() {
			return false
		}
		if !a.listenerGone(ctx) {
			confirmed = 0
		} else if confirmed++; confirmed == departureConfirmations {
			return true
		}
		wait(ctx, departureCheckInterval)
	}
	return false
}

// listenerGone reports whether nothing listens at the backend server's address any more. A timeout does not count, since
// a paused process does not answer either.
func (a *Agent) listenerGone(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, departureCheckTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp4", a.cfg.Backend.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// resetOpenFlows resets the open flows of a backend server that has ended at their callers.
func (a *Agent) resetOpenFlows(now time.Time) {
	open := a.admitter.SetBackendGone(now, a.state.idleTimeout())
	for _, f := range open {
		a.metrics.count(eventRefused, reasonBackendEnded)
		var buf [64]byte
		a.sendToCaller(a.cfg.Codec.AppendReset(buf[:0], f.Flow, f.Seq), f.Flow)
		a.cfg.Logger.Info("flow refused", "flow", f.Flow.String(), "reason", reasonBackendEnded, "opens", false)
	}
	a.cfg.Logger.Info("backend server has ended", "open_flows", len(open))
}
