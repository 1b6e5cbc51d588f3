package caller

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/standin/backend"
	"github.com/bramleymast/bramleymast/internal/standin/content"
)

// HTTP headers of the protocol between callers and agents.
const (
	headerOutcome        = "Bramleymast-Outcome"
	headerTicket         = "Bramleymast-Ticket"
	headerDeadline       = "Bramleymast-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
)

const (
	defaultDeadline = 5 * time.Second
	// answerMargin is the time beyond the deadline that a caller waits for a response, or for the header of a download.
	answerMargin = 2 * time.Second
	// stallTimeout is the time that a read of a download may block before the download is cancelled.
	stallTimeout     = 15 * time.Second
	maxResponseBytes = 1 << 20
)

// Load describes the requests of one caller; the zero value sends reads without a pause on one flow.
type Load struct {
	// Pause is the mean time between two requests.
	Pause time.Duration
	// WriteShare and DownloadShare are the probabilities of each kind of request; the rest are reads.
	WriteShare    float64
	DownloadShare float64
	DownloadBytes int64
	// DownloadRate is in bytes per second; 0 means unlimited.
	DownloadRate int64
	// RequestsPerFlow is the number of requests after which the caller opens a new flow; 0 means no limit.
	RequestsPerFlow int
}

// Config configures a caller.
type Config struct {
	Name    string
	Service netip.AddrPort
	// Local is the IP address from which the caller sends.
	Local netip.Addr
	Kind  backend.Kind
	TLS   *tls.Config
	Load  Load
	Seed  uint64
	Tally *Tally
	// Deadline is sent with each request and defaults to 5 s.
	Deadline time.Duration
	Logger   hclog.Logger
}

// Caller sends requests one after the other, like one user of a customer service.
type Caller struct {
	cfg            Config
	rng            *rand.Rand
	retryBudget    *retryBudget
	session        *session
	requestsOnFlow int
	ticket         string
	orderCount     int
}

// New returns a caller that opens its first flow when it sends a request.
func New(cfg Config) *Caller {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Tally == nil {
		cfg.Tally = &Tally{}
	}
	if cfg.Deadline == 0 {
		cfg.Deadline = defaultDeadline
	}
	return &Caller{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 2)), retryBudget: newRetryBudget()}
}

// Run sends requests until stop is closed or the context ends; when stop is closed, it completes the request in progress.
func (c *Caller) Run(ctx context.Context, stop <-chan struct{}) {
	defer c.Close()
	for ctx.Err() == nil {
		select {
		case <-stop:
			return
		default:
		}
		c.sendNext(ctx)
		c.pause(ctx, stop)
	}
}

// Send sends a number of requests, or fewer when the context ends.
func (c *Caller) Send(ctx context.Context, requests int) {
	for range requests {
		if ctx.Err() != nil {
			return
		}
		c.sendNext(ctx)
		c.pause(ctx, nil)
	}
}

// Close closes the open flow, if any.
func (c *Caller) Close() {
	if c.session == nil {
		return
	}
	c.recordFlowBreak(false)
	c.session.close()
	c.session = nil
	c.requestsOnFlow = 0
	// A ticket is valid for one session, so a request after Close obtains a new one.
	c.ticket = ""
}

func (c *Caller) pause(ctx context.Context, stop <-chan struct{}) {
	if c.cfg.Load.Pause <= 0 {
		return
	}
	t := time.NewTimer(time.Duration(c.rng.ExpFloat64() * float64(c.cfg.Load.Pause)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-stop:
	case <-ctx.Done():
	}
}

// sendNext sends one request of a kind chosen at random according to the load.
func (c *Caller) sendNext(ctx context.Context) {
	l := c.cfg.Load
	if l.RequestsPerFlow > 0 && c.requestsOnFlow >= l.RequestsPerFlow {
		c.Close()
	}
	p := c.rng.Float64()
	switch {
	case p < l.WriteShare && c.cfg.Kind.Writes():
		c.orderCount++
		c.Write(ctx, fmt.Sprintf("%s-%d", c.cfg.Name, c.orderCount))
	case p < l.WriteShare+l.DownloadShare:
		c.Download(ctx, c.rng.Uint64()>>1, l.DownloadBytes, l.DownloadRate)
	default:
		c.Read(ctx, strconv.Itoa(c.rng.IntN(1000)))
	}
}

// Read requests one entry and checks that the answer has the requested id.
func (c *Caller) Read(ctx context.Context, id string) Outcome {
	return c.sendWithRetries(ctx, false, func(ctx context.Context) result {
		r := c.sendAndRead(ctx, c.newRequest(ctx, http.MethodGet, c.cfg.Kind.ReadPath(id), nil))
		return c.checkAnswer(r, id)
	})
}

// Write places an order with a ticket and an idempotency key.
func (c *Caller) Write(ctx context.Context, id string) Outcome {
	// The outcome of a shed request is recorded under its idempotency key, so its retry needs another key.
	shedCount := 0
	o := c.sendWithRetries(ctx, false, func(ctx context.Context) result {
		r := c.writeAttempt(ctx, id, fmt.Sprintf("%s/%d", id, shedCount))
		if r.shed {
			shedCount++
		}
		return r
	})
	c.cfg.Tally.setWriteOutcome(id, o)
	return o
}

// writeAttempt sends the order, and sends it again if the first response issues the required ticket.
func (c *Caller) writeAttempt(ctx context.Context, id, key string) result {
	r := c.sendOrder(ctx, id, key)
	if r.status == http.StatusPreconditionRequired && r.outcome == NotRun && r.ticket != "" {
		c.cfg.Tally.update(func(rep *Report) { rep.Tickets++ })
		r = c.sendOrder(ctx, id, key)
	}
	return c.checkAnswer(r, id)
}

func (c *Caller) sendOrder(ctx context.Context, id, key string) result {
	body, err := json.Marshal(backend.Order{ID: id})
	if err != nil {
		return result{outcome: NotRun, reason: err.Error()}
	}
	req := c.newRequest(ctx, http.MethodPost, c.cfg.Kind.WritePath(), body)
	req.Header.Set(headerIdempotencyKey, key)
	if c.ticket != "" {
		req.Header.Set(headerTicket, c.ticket)
	}
	r := c.sendAndRead(ctx, req)
	if r.ticket != "" {
		c.ticket = r.ticket
	}
	return r
}

// Download fetches the content of a seed and verifies all of its bytes.
func (c *Caller) Download(ctx context.Context, seed uint64, size, rate int64) Outcome {
	return c.sendWithRetries(ctx, true, func(ctx context.Context) result { return c.downloadAttempt(ctx, seed, size, rate) })
}

func (c *Caller) downloadAttempt(ctx context.Context, seed uint64, size, rate int64) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(c.cfg.Deadline+answerMargin, cancel)
	defer timer.Stop()
	res, r := c.roundTrip(ctx, c.newRequest(ctx, http.MethodGet, c.cfg.Kind.DownloadPath(seed, size, rate), nil))
	if res == nil || res.StatusCode != http.StatusOK {
		return r
	}
	defer res.Body.Close()
	v := content.NewVerifier(seed)
	_, err := io.Copy(v, &stallReader{r: res.Body, timer: timer})
	if errors.Is(err, content.ErrMismatch) || (err == nil && v.Matched() != size) {
		c.cfg.Tally.update(func(rep *Report) { rep.Corrupt++ })
		return result{outcome: Unknown, noRetry: true, reason: "corrupt content"}
	}
	if err != nil {
		return c.truncated(err)
	}
	c.cfg.Tally.update(func(rep *Report) {
		rep.Downloads++
		rep.DownloadedBytes += int(size)
	})
	return r
}

// stallReader resets a timer to stallTimeout at each read.
type stallReader struct {
	r     io.Reader
	timer *time.Timer
}

func (s *stallReader) Read(p []byte) (int, error) {
	s.timer.Reset(stallTimeout)
	return s.r.Read(p)
}

func (c *Caller) newRequest(ctx context.Context, method, path string, body []byte) *http.Request {
	req, err := http.NewRequestWithContext(ctx, method, "https://"+c.cfg.Service.String()+path, bytes.NewReader(body))
	if err != nil {
		// The URL consists of an IP address and a path of backend.Kind, so it always parses.
		panic(err)
	}
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	req.Header.Set(headerDeadline, strconv.FormatInt(c.cfg.Deadline.Milliseconds(), 10))
	return req
}
