package dispatch_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/bramleymast/bramleymast/pkg/dispatch"
)

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{4, 38, 300} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			all := make([]dispatch.Server, n)
			for i := range all {
				all[i] = dispatch.Server{
					Key: uint64(i + 1), Zone: strconv.Itoa(i % 3), Slots: 4, InProgress: i % 6, Flows: 20 + i%7, ServiceTime: 30 * time.Millisecond,
					Wait: time.Duration(i%3) * 8 * time.Millisecond, Age: time.Duration(i) * time.Millisecond,
				}
			}
			var r dispatch.Ranker
			var hash uint64
			for b.Loop() {
				hash += 0x9e3779b97f4a7c15
				r.Rank(dispatch.Flow{Hash: hash, Zone: "0", Objective: 250 * time.Millisecond}, all)
			}
		})
	}
}
