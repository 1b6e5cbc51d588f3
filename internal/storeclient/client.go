// Package storeclient is the client of the platform's configuration store over HTTP and JSON.
package storeclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/store"
)

const (
	// callTimeout ends a call that the store does not answer; a healthy store answers in milliseconds.
	callTimeout = 3 * time.Second
	// pollTimeout is longer than the store lets a watch request wait.
	pollTimeout = 30 * time.Second
	// maxAnswer bounds an answer, which may list the whole configuration.
	maxAnswer = 64 << 20
)

type request struct {
	Key      string `json:"key,omitempty"`
	Prefix   string `json:"prefix,omitempty"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	TTLMS    int64  `json:"ttl_ms,omitempty"`
}

type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted"`
}

type answer struct {
	Error    string  `json:"error"`
	Entries  []entry `json:"entries"`
	Revision uint64  `json:"revision"`
	Lease    uint64  `json:"lease"`
}

// Client calls the store at a base URL.
type Client struct {
	base string
	http *http.Client
}

var _ store.Store = (*Client)(nil)

// New returns a client of the store at a base URL, such as http://127.0.0.1:7070.
func New(base string) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: &http.Transport{}}}
}

// Close ends the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call makes one request. Once a connection was obtained the request may have been sent,
// so only an error before that is store.ErrUnavailable.
func (c *Client) call(ctx context.Context, name string, timeout time.Duration, req request) (answer, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return answer{}, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+"/v1/"+name, bytes.NewReader(body))
	if err != nil {
		return answer{}, errors.Annotatef(store.ErrUnavailable, "%v", err)
	}
	r.GetBody = nil // Without it the transport repeats no request that may have been sent.
	resp, err := c.http.Do(r)
	if err != nil {
		if connected.Load() {
			return answer{}, errors.Annotatef(store.ErrUnknownOutcome, "%s: %v", name, err)
		}
		return answer{}, errors.Annotatef(store.ErrUnavailable, "%s: %v", name, err)
	}
	defer resp.Body.Close()
	return decode(name, resp)
}

func decode(name string, resp *http.Response) (answer, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return answer{}, errors.Annotatef(store.ErrUnknownOutcome, "%s: %v", name, err)
	}
	if resp.StatusCode != http.StatusOK {
		return answer{}, errors.Annotatef(store.ErrUnknownOutcome, "%s: status %s", name, resp.Status)
	}
	var a answer
	if err := json.Unmarshal(data, &a); err != nil {
		return answer{}, errors.Annotatef(store.ErrUnknownOutcome, "%s: %v", name, err)
	}
	return a, errors.Trace(codeError(a.Error))
}

func codeError(code string) error {
	switch code {
	case "":
		return nil
	case "conflict":
		return store.ErrConflict
	case "not_found":
		return store.ErrNotFound
	case "compacted":
		return store.ErrCompacted
	case "too_large":
		return store.ErrTooLarge
	}
	return errors.Errorf("the store refused the call: %s", code)
}

func (a answer) page() store.Page {
	page := store.Page{Revision: store.Revision(a.Revision)}
	for _, e := range a.Entries {
		page.Entries = append(page.Entries, store.Entry{
			Key: e.Key, Value: e.Value, Revision: store.Revision(e.Revision), Deleted: e.Deleted,
		})
	}
	return page
}

// Get returns the entry of a key or store.ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	a, err := c.call(ctx, "get", callTimeout, request{Key: key})
	if err != nil {
		return store.Entry{}, err
	}
	page := a.page()
	if len(page.Entries) != 1 {
		return store.Entry{}, errors.Errorf("the store answered get with %d entries", len(page.Entries))
	}
	return page.Entries[0], nil
}

// List returns the entries whose keys begin with a prefix.
func (c *Client) List(ctx context.Context, prefix string) (store.Page, error) {
	a, err := c.call(ctx, "list", callTimeout, request{Prefix: prefix})
	return a.page(), err
}

// CompareAndSwap writes a value if the key is at the expected revision.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, errors.Annotatef(store.ErrTooLarge, "%d bytes", len(value))
	}
	a, err := c.call(ctx, "swap", callTimeout, request{Key: key, Value: value, Revision: uint64(expected), Lease: uint64(lease)})
	return store.Revision(a.Revision), err
}

// Delete removes a key that is at the expected revision.
func (c *Client) Delete(ctx context.Context, key string, expected store.Revision) error {
	_, err := c.call(ctx, "delete", callTimeout, request{Key: key, Revision: uint64(expected)})
	return err
}

// Watch waits until a key with the prefix changes after a revision; it polls again when the store answers without changes.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Revision) (store.Page, error) {
	for {
		a, err := c.call(ctx, "watch", pollTimeout, request{Prefix: prefix, Revision: uint64(after)})
		if err != nil || len(a.Entries) > 0 {
			return a.page(), err
		}
		if err := ctx.Err(); err != nil {
			return store.Page{}, errors.Trace(err)
		}
	}
}

// Grant opens a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	a, err := c.call(ctx, "grant", callTimeout, request{TTLMS: ttl.Milliseconds()})
	return store.LeaseID(a.Lease), err
}

// Renew extends a lease or returns store.ErrNotFound when it has ended.
func (c *Client) Renew(ctx context.Context, id store.LeaseID) error {
	_, err := c.call(ctx, "renew", callTimeout, request{Lease: uint64(id)})
	return err
}

// Revoke ends a lease at once.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	_, err := c.call(ctx, "revoke", callTimeout, request{Lease: uint64(id)})
	return err
}
