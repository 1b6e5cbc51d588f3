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

// Headers of the protocol between callers and agents.
const (
	headerOutcome  = "Bramleymast-Outcome"
	headerTicket   = "Bramleymast-Ticket"
	headerDeadline = "Bramleymast-Deadline-Ms"
	headerKey      = "Idempotency-Key"
)

const (
	defaultDeadline = 5 * time.Second
	// answerMargin is how much longer than the deadline a caller waits for the first byte.
	answerMargin = 2 * time.Second
	// stallTimeout is how long a caller waits for the next bytes of a download.
	stallTimeout = 15 * time.Second
	maxBody      = 1 << 20
)

// Load is what one caller does; the zero value does reads without a pause on one flow.
type Load struct {
	// Pause is the mean time between two requests.
	Pause time.Duration
	// WriteShare and DownloadShare are the probabilities of each kind of request; the rest are reads.
	WriteShare    float64
	DownloadShare float64
	DownloadBytes int64
	// DownloadRate is in bytes a second; 0 means unlimited.
	DownloadRate int64
	// RequestsPerFlow ends a flow after so many requests; 0 means that it is kept.
	RequestsPerFlow int
}

// Config configures a caller.
type Config struct {
	Name    string
	Service netip.AddrPort
	// Local is the caller's own IP address.
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

// Caller sends requests one after the other, as one user of a customer service.
type Caller struct {
	cfg     Config
	random  *rand.Rand
	budget  *budget
	session *session
	onFlow  int
	ticket  string
	orders  int
}

// New returns a caller.
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
	return &Caller{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 2)), budget: newBudget()}
}

// Run sends requests until stop is closed, and then ends after the request in progress, or when the context ends.
func (c *Caller) Run(ctx context.Context, stop <-chan struct{}) {
	defer c.Close()
	for ctx.Err() == nil {
		select {
		case <-stop:
			return
		default:
		}
		c.next(ctx)
		c.pause(ctx, stop)
	}
}

// Send sends a number of requests, or fewer when the context ends.
func (c *Caller) Send(ctx context.Context, requests int) {
	for range requests {
		if ctx.Err() != nil {
			return
		}
		c.next(ctx)
		c.pause(ctx, nil)
	}
}

// Close ends the flow of the caller.
func (c *Caller) Close() {
	if c.session == nil {
		return
	}
	c.noteEnd(false)
	c.session.close()
	c.session = nil
	c.onFlow = 0
	// A ticket serves one session, so the next one asks for its own.
	c.ticket = ""
}

func (c *Caller) pause(ctx context.Context, stop <-chan struct{}) {
	if c.cfg.Load.Pause <= 0 {
		return
	}
	t := time.NewTimer(time.Duration(c.random.ExpFloat64() * float64(c.cfg.Load.Pause)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-stop:
	case <-ctx.Done():
	}
}

// next sends one request of the load.
func (c *Caller) next(ctx context.Context) {
	l := c.cfg.Load
	if l.RequestsPerFlow > 0 && c.onFlow >= l.RequestsPerFlow {
		c.Close()
	}
	p := c.random.Float64()
	switch {
	case p < l.WriteShare && c.cfg.Kind.Writes():
		c.orders++
		c.Write(ctx, fmt.Sprintf("%s-%d", c.cfg.Name, c.orders))
	case p < l.WriteShare+l.DownloadShare:
		c.Download(ctx, c.random.Uint64()>>1, l.DownloadBytes, l.DownloadRate)
	default:
		c.Read(ctx, strconv.Itoa(c.random.IntN(1000)))
	}
}

// Read asks for one entry and checks that the answer is about this entry.
func (c *Caller) Read(ctx context.Context, id string) Outcome {
	return c.request(ctx, false, func(ctx context.Context) result {
		r := c.exchange(ctx, c.newRequest(ctx, http.MethodGet, c.cfg.Kind.ReadPath(id), nil))
		return c.checkAnswer(r, id)
	})
}

// Write places an order with a ticket and an idempotency key.
func (c *Caller) Write(ctx context.Context, id string) Outcome {
	// A shed request has its outcome recorded under its key, so a further try needs another key.
	tries := 0
	o := c.request(ctx, false, func(ctx context.Context) result {
		r := c.writeOnce(ctx, id, fmt.Sprintf("%s/%d", id, tries))
		if r.shed {
			tries++
		}
		return r
	})
	c.cfg.Tally.write(id, o)
	return o
}

// writeOnce sends the order, and once more when the service has handed out a ticket for it.
func (c *Caller) writeOnce(ctx context.Context, id, key string) result {
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
	req.Header.Set(headerKey, key)
	if c.ticket != "" {
		req.Header.Set(headerTicket, c.ticket)
	}
	r := c.exchange(ctx, req)
	if r.ticket != "" {
		c.ticket = r.ticket
	}
	return r
}

// Download fetches the bytes of a seed and compares each of them.
func (c *Caller) Download(ctx context.Context, seed uint64, size, rate int64) Outcome {
	return c.request(ctx, true, func(ctx context.Context) result { return c.downloadOnce(ctx, seed, size, rate) })
}

func (c *Caller) downloadOnce(ctx context.Context, seed uint64, size, rate int64) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := time.AfterFunc(c.cfg.Deadline+answerMargin, cancel)
	defer watch.Stop()
	res, r := c.send(ctx, c.newRequest(ctx, http.MethodGet, c.cfg.Kind.DownloadPath(seed, size, rate), nil))
	if res == nil || res.StatusCode != http.StatusOK {
		return r
	}
	defer res.Body.Close()
	v := content.NewVerifier(seed)
	_, err := io.Copy(v, &watchedReader{r: res.Body, watch: watch})
	if errors.Is(err, content.ErrMismatch) || (err == nil && v.Matched() != size) {
		c.cfg.Tally.update(func(rep *Report) { rep.Corrupt++ })
		return result{outcome: Unknown, final: true, reason: "corrupt content"}
	}
	if err != nil {
		return c.cut(err)
	}
	c.cfg.Tally.update(func(rep *Report) {
		rep.Downloads++
		rep.DownloadedBytes += int(size)
	})
	return r
}

// watchedReader puts off a timeout at each read.
type watchedReader struct {
	r     io.Reader
	watch *time.Timer
}

func (w *watchedReader) Read(p []byte) (int, error) {
	w.watch.Reset(stallTimeout)
	return w.r.Read(p)
}

func (c *Caller) newRequest(ctx context.Context, method, path string, body []byte) *http.Request {
	req, err := http.NewRequestWithContext(ctx, method, "https://"+c.cfg.Service.String()+path, bytes.NewReader(body))
	if err != nil {
		// The paths are built by this package and parse.
		panic(err)
	}
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	req.Header.Set(headerDeadline, strconv.FormatInt(c.cfg.Deadline.Milliseconds(), 10))
	return req
}
