// Package backend is a sample backend server of the two users' customer services, for tests and trials.
package backend

import (
	"fmt"
	"slices"

	"github.com/juju/errors"
)

// Kind is the customer service that a sample backend server plays.
type Kind string

// Kinds of sample backend servers.
const (
	KindOrders    Kind = "orders"
	KindCatalogue Kind = "catalogue"
	KindSummaries Kind = "summaries"
	KindBundles   Kind = "bundles"
)

// ErrUnknownKind means that a name is not one of a kind.
const ErrUnknownKind = errors.ConstError("the kind is not orders, catalogue, summaries or bundles")

// ParseKind returns the kind with a name.
func ParseKind(name string) (Kind, error) {
	k := Kind(name)
	if !slices.Contains([]Kind{KindOrders, KindCatalogue, KindSummaries, KindBundles}, k) {
		return "", errors.Annotatef(ErrUnknownKind, "%q", name)
	}
	return k, nil
}

// Writes reports whether the service takes non-idempotent writes.
func (k Kind) Writes() bool { return k == KindOrders || k == KindSummaries }

// WritePath returns the path for non-idempotent writes, or an empty string.
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

// ReadPath returns the path of one short answer.
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

// DownloadPath returns the path of a long answer; rate is in bytes a second and 0 means unlimited.
func (k Kind) DownloadPath(seed uint64, size, rate int64) string {
	return fmt.Sprintf("/downloads/%d?bytes=%d&rate=%d", seed, size, rate)
}
