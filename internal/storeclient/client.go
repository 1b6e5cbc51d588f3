// Package storeclient is a client for the HTTP and JSON interface of the platform's configuration store.
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
	// callTimeout is the timeout of a call; a healthy store answers in milliseconds.
	callTimeout = 3 * time.Second
	// watchTimeout is the timeout of a watch request. It exceeds the time for which the store holds such a request open.
	watchTimeout = 30 * time.Second
	// maxResponseBytes limits the size of a response, which may list the whole configuration.
	maxResponseBytes = 64 << 20
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

type response struct {
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

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call sends one request. Only an error before the connection was obtained is store.ErrUnavailable, because afterwards the
// request may have been sent.
func (c *Client) call(ctx context.Context, name string, timeout time.Duration, req request) (response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return response{}, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+"/v1/"+name, bytes.NewReader(body))
	if err != nil {
		return response{}, errors.Annotatef(store.ErrUnavailable, "%v", err)
	}
	r.GetBody = nil // keeps the transport from repeating a request that may have been sent
	resp, err := c.http.Do(r)
	if err != nil {
		if connected.Load() {
			return response{}, errors.Annotatef(store.ErrUnknownOutcome, "%s: %v", name, err)
		}
		return response{}, errors.Annotatef(store.ErrUnavailable, "%s: %v", name, err)
	}
	defer resp.Body.Close()
	return decode(name, resp)
}

func decode(name string, resp *http.Response) (response, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, errors.Annotatef(store.ErrUnknownOutcome, "%s: %v", name, err)
	}
	if resp.StatusCode != http.StatusOK {
		return response{}, errors.Annotatef(store.ErrUnknownOutcome, "%s: status %s", name, resp.Status)
	}
	var r response
	if err := json.Unmarshal(data, &r); err != nil {
		return response{}, errors.Annotatef(store.ErrUnknownOutcome, "%s: %v", name, err)
	}
	return r, errors.Trace(errorOf(r.Error))
}

func errorOf(code string) error {
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
	return errors.Errorf("the store returned error code %q", code)
}

func (r response) page() store.Page {
	page := store.Page{Revision: store.Revision(r.Revision)}
	for _, e := range r.Entries {
		page.Entries = append(page.Entries, store.Entry{
			Key: e.Key, Value: e.Value, Revision: store.Revision(e.Revision), Deleted: e.Deleted,
		})
	}
	return page
}

// Get returns the entry of a key, or store.ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	resp, err := c.call(ctx, "get", callTimeout, request{Key: key})
	if err != nil {
		return store.Entry{}, err
	}
	page := resp.page()
	if len(page.Entries) != 1 {
		return store.Entry{}, errors.Errorf("the store returned %d entries for one key", len(page.Entries))
	}
	return page.Entries[0], nil
}

// List returns the entries whose keys have the prefix.
func (c *Client) List(ctx context.Context, prefix string) (store.Page, error) {
	resp, err := c.call(ctx, "list", callTimeout, request{Prefix: prefix})
	return resp.page(), err
}

// CompareAndSwap writes a value if the key is at the expected revision.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, errors.Annotatef(store.ErrTooLarge, "%d bytes", len(value))
	}
	resp, err := c.call(ctx, "swap", callTimeout, request{Key: key, Value: value, Revision: uint64(expected), Lease: uint64(lease)})
	return store.Revision(resp.Revision), err
}

// Delete deletes a key if it is at the expected revision.
func (c *Client) Delete(ctx context.Context, key string, expected store.Revision) error {
	_, err := c.call(ctx, "delete", callTimeout, request{Key: key, Revision: uint64(expected)})
	return err
}

// Watch waits until a key with the prefix changes after a revision. It sends another request when the store responds
// without changes.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Revision) (store.Page, error) {
	for {
		resp, err := c.call(ctx, "watch", watchTimeout, request{Prefix: prefix, Revision: uint64(after)})
		if err != nil || len(resp.Entries) > 0 {
			return resp.page(), err
		}
		if err := ctx.Err(); err != nil {
			return store.Page{}, errors.Trace(err)
		}
	}
}

// Grant creates a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	resp, err := c.call(ctx, "grant", callTimeout, request{TTLMS: ttl.Milliseconds()})
	return store.LeaseID(resp.Lease), err
}

// Renew extends a lease, or returns store.ErrNotFound if it has expired or was revoked.
func (c *Client) Renew(ctx context.Context, id store.LeaseID) error {
	_, err := c.call(ctx, "renew", callTimeout, request{Lease: uint64(id)})
	return err
}

// Revoke ends a lease immediately.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	_, err := c.call(ctx, "revoke", callTimeout, request{Lease: uint64(id)})
	return err
}
