package membership

import (
	"slices"

	"github.com/bramleymast/bramleymast/pkg/board"
)

// Snapshot returns the records of a board that answer a PullRequest. It doesn't use the Node, so that a large reply
// delays no heartbeat.
func Snapshot(b *board.Board, req PullRequest) []board.Record {
	records := b.Records()
	if len(req.Want) > 0 {
		return slices.DeleteFunc(records, func(r board.Record) bool { return !slices.Contains(req.Want, HashOf(r.ID)) })
	}
	have := make(map[uint64]board.Version, len(req.Have))
	for _, i := range req.Have {
		have[i.Hash] = i.Version
	}
	return slices.DeleteFunc(records, func(r board.Record) bool {
		if req.Service != "" && !isInScope(b, req.Service, r) {
			return true
		}
		v, ok := have[HashOf(r.ID)]
		return ok && v.Compare(r.Version) >= 0
	})
}

// isInScope reports whether agents of a service need a record.
func isInScope(b *board.Board, service string, r board.Record) bool {
	switch v := r.Value.(type) {
	case board.Zone, board.ZoneReachability, board.Balancer:
		return true
	case board.Contract:
		return r.ID.Key == service
	case board.Agent:
		return v.Service == service
	case board.Backend:
		a, ok := b.Get(board.ID{Kind: board.KindAgent, Key: r.ID.Key})
		return ok && agentService(a) == service
	}
	return false
}
