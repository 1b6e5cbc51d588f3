package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/internal/configvalue"
	"github.com/bramleymast/bramleymast/internal/rungroup"
	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/contract"
	"github.com/bramleymast/bramleymast/pkg/membership"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// storeTimeout limits the store calls of one action, except a watch.
const storeTimeout = 3 * time.Second

func (p *Process) countStoreCall(name string) { p.metrics.storeCalls.WithLabelValues(name).Inc() }

// acquireLease acquires the relay lease of the zone; the revision of its key is the fencing token.
func (p *Process) acquireLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p.countStoreCall("grant")
	id, err := p.cfg.Store.Grant(ctx, membership.LeaseTTL)
	if err != nil {
		p.post(membership.LeaseResult{Err: err})
		return nil
	}
	p.countStoreCall("swap")
	fencing, err := p.cfg.Store.CompareAndSwap(ctx, configvalue.RelayKey(p.cfg.Zone), []byte(p.cfg.ID), 0, id)
	if err != nil {
		// If only the reply was lost, the key exists and would block the role until the lease expires.
		p.revoke(id)
		p.post(membership.LeaseResult{Err: err})
		return nil
	}
	p.mu.Lock()
	p.lease = id
	p.mu.Unlock()
	p.post(membership.LeaseResult{Fencing: fencing})
	return nil
}

func (p *Process) currentLease() store.LeaseID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lease
}

func (p *Process) renewLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p.countStoreCall("renew")
	p.post(membership.RenewResult{Err: p.cfg.Store.Renew(ctx, p.currentLease())})
	return nil
}

func (p *Process) releaseLease(context.Context) error {
	p.revoke(p.currentLease())
	return nil
}

// revoke revokes a lease, even while the process stops. A lease that cannot be revoked expires.
func (p *Process) revoke(id store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	p.countStoreCall("revoke")
	if err := p.cfg.Store.Revoke(ctx, id); err != nil {
		p.cfg.Logger.Debug("cannot revoke the relay lease, it will expire", "error", err)
	}
}

func (p *Process) startReading(g *rungroup.Group, a membership.ReadStore) {
	ctx, cancel := context.WithCancel(g.Context())
	p.mu.Lock()
	p.cancelRead = cancel
	p.mu.Unlock()
	g.Go(func(context.Context) error {
		defer cancel()
		page, err := p.read(ctx, a.After)
		p.post(membership.ReadResult{Records: p.decodeEntries(page), Revision: page.Revision, Err: err})
		return nil
	})
}

func (p *Process) stopReading() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancelRead != nil {
		p.cancelRead()
	}
}

func (p *Process) read(ctx context.Context, after store.Revision) (store.Page, error) {
	if after > 0 {
		p.countStoreCall("watch")
		return p.cfg.Store.Watch(ctx, configvalue.Prefix, after)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	p.countStoreCall("list")
	return p.cfg.Store.List(ctx, configvalue.Prefix)
}

// decodeEntries decodes the entries of a page. An entry that cannot be decoded is counted and skipped, so that the
// last valid value stays in force.
func (p *Process) decodeEntries(page store.Page) []board.Record {
	var out []board.Record
	for _, e := range page.Entries {
		r, err := decodeEntry(e)
		if err != nil {
			p.metrics.refusedValues.WithLabelValues(refusalReason(err)).Inc()
			p.cfg.Logger.Error("invalid store value, the last valid one stays in force", "key", e.Key, "revision", uint64(e.Revision), "error", err)
			continue
		}
		out = append(out, r)
	}
	return out
}

// errDeletedContract is returned for a deleted contract; the last version stays in force.
const errDeletedContract = errors.ConstError("the contract was deleted")

func refusalReason(err error) string {
	switch {
	case errors.Is(err, errDeletedContract):
		return "deleted_contract"
	case errors.Is(err, configvalue.ErrUnknownKey):
		return "unknown_key"
	}
	return "undecodable"
}

func decodeEntry(e store.Entry) (board.Record, error) {
	kind, name, err := configvalue.ParseKey(e.Key)
	if err != nil {
		return board.Record{}, err
	}
	r := board.Record{Version: board.Version{Seq: uint64(e.Revision)}}
	if kind == configvalue.KindContract {
		r.ID = board.ID{Kind: board.KindContract, Key: name}
		r.Value, err = decodeContract(name, e)
		return r, err
	}
	var a contract.Availability
	if !e.Deleted {
		s, err := configvalue.DecodeState(e.Value)
		if err != nil {
			return board.Record{}, err
		}
		a = s.Availability()
	}
	if kind == configvalue.KindZone {
		r.ID = board.ID{Kind: board.KindZone, Key: name}
		r.Value = board.Zone{Availability: a}
		return r, nil
	}
	r.ID = board.ID{Kind: board.KindBackend, Key: name}
	r.Value = board.Backend{Availability: a}
	return r, nil
}

func decodeContract(name string, e store.Entry) (board.Value, error) {
	if e.Deleted {
		return nil, errDeletedContract
	}
	v, err := configvalue.DecodeContract(e.Value)
	if err != nil {
		return nil, err
	}
	if v.Contract.Service() != name {
		return nil, errors.Errorf("entry of service %q holds the contract of service %q", name, v.Contract.Service())
	}
	return board.Contract{Contract: v.Contract}, nil
}
