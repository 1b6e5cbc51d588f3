package passthrough

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bramleymast/bramleymast/pkg/entryhost"
)

// newTestDuty returns the duty of a host in a deployment that asks for the feature.
func newTestDuty(capacity entryhost.Capacity) *watchDuty {
	cfg := BalancerConfig{Features: NewFeatures(UnevenHosts), Capacity: capacity, Logger: hclog.NewNullLogger()}
	return newWatchDuty(cfg, func() uint64 { return 0 }, newMetrics("balancer", gauges{}))
}

// Guards against a message that vouches for an answer of the store with a revision from before the answer.
func TestStampDuringAnswer(t *testing.T) {
	d := newTestDuty(entryhost.Capacity{Cores: 0.8, LinkMbps: 200})
	now := d.started.Add(time.Second)
	voucher, revision := d.stamp(now, func() uint64 {
		d.answered(now.Add(-time.Millisecond)) // brings revision 2
		return 1
	})
	assert.Assert(t, revision == 2 || !voucher.Valid(), "%+v with revision %d", voucher, revision)
}

// Guards against agents that keep and report what balancers vouch for although their deployment has not asked for it.
func TestAgentsPassVouchersOnIfAsked(t *testing.T) {
	now := time.Unix(1000, 0)
	voucher := entryhost.Voucher{Class: 7, Age: time.Second}
	for _, tt := range []struct {
		features Features
		want     entryhost.Report
	}{{NewFeatures(Detours), entryhost.Report{}}, {NewFeatures(UnevenHosts), entryhost.Report{Voucher: voucher, Weakest: 7, Newest: 3}}} {
		h := newHeardHosts(tt.features)
		h.add(now, voucher, 3)
		assert.DeepEqual(t, h.report(now), tt.want)
	}
}
