package passthrough

import (
	"time"

	"github.com/bramleymast/bramleymast/pkg/entryhost"
)

// heardHosts is what an agent has heard of the hosts of balancers. It is passed on, so that weak balancers can rely on
// strong ones. A nil value keeps and reports nothing.
type heardHosts struct {
	vouchers entryhost.Vouchers
	newest   maxRevision // highest operator revision that a balancer has sent
}

// newHeardHosts returns nil without the feature.
func newHeardHosts(features Features) *heardHosts {
	if !features.Has(UnevenHosts) {
		return nil
	}
	return &heardHosts{}
}

// add records a message of a balancer.
func (h *heardHosts) add(now time.Time, v entryhost.Voucher, revision uint64) {
	if h != nil {
		h.vouchers.Add(now, v)
		h.newest.add(revision)
	}
}

func (h *heardHosts) report(now time.Time) entryhost.Report {
	if h == nil {
		return entryhost.Report{}
	}
	return entryhost.Report{Voucher: h.vouchers.Strongest(now), Weakest: h.vouchers.Weakest(now), Newest: h.newest.get()}
}
