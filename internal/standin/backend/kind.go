// Package backend implements a sample backend server for the customer services of both users, for tests and trials.
package backend

import (
	"fmt"
	"slices"

	"github.com/juju/errors"
)

// Kind is the customer service that a sample backend server provides.
type Kind string

// Kinds of sample backend servers.
const (
	KindOrders    Kind = "orders"
	KindCatalogue Kind = "catalogue"
	KindSummaries Kind = "summaries"
	KindBundles   Kind = "bundles"
)

// ErrUnknownKind is returned by ParseKind for a name that is not a kind.
const ErrUnknownKind = errors.ConstError("unknown kind, allowed are orders, catalogue, summaries and bundles")

// ParseKind returns the kind with the given name, or ErrUnknownKind.
func ParseKind(name string) (Kind, error) {
	k := Kind(name)
	if !slices.Contains([]Kind{KindOrders, KindCatalogue, KindSummaries, KindBundles}, k) {
		return "", errors.Annotatef(ErrUnknownKind, "%q", name)
	}
	return k, nil
}

// Writes reports whether the service accepts non-idempotent writes.
func (k Kind) Writes() bool { return k == KindOrders || k == KindSummaries }

// WritePath returns the path for non-idempotent writes, or an empty string if the service accepts none.
func (k Kind) WritePath() string {
	switch k {
	case KindOrders:
		return "/orders"
	case KindSummaries:
		return "/corrections"
	default:
		return ""
	}
}

// ReadPath returns the path that reads one entry.
func (k Kind) ReadPath(id string) string {
	switch k {
	case KindOrders:
		return "/batches/" + id
	case KindSummaries:
		return "/summaries/" + id
	default:
		return "/entries/" + id
	}
}

// DownloadPath returns the path of a download of size bytes; rate is in bytes per second, and 0 means unlimited.
func (k Kind) DownloadPath(seed uint64, size, rate int64) string {
	return fmt.Sprintf("/downloads/%d?bytes=%d&rate=%d", seed, size, rate)
}
