package split_test

import (
	"fmt"
	"math"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bramleymast/bramleymast/pkg/route"
	"github.com/bramleymast/bramleymast/pkg/split"
)

// Guards against shares that do not follow the weights.
func TestOrderFollowsWeights(t *testing.T) {
	shares := []route.Share{{Service: "stable", Weight: 90}, {Service: "canary", Weight: 10}, {Service: "old"}}
	count := make(map[string]int)
	const flows = 20_000
	for hash := range uint64(flows) {
		services := split.Order(hash*0x9e3779b97f4a7c15, shares)
		assert.Equal(t, len(services), 2)
		count[services[0]]++
	}
	assert.Assert(t, math.Abs(float64(count["canary"])/flows-0.1) < 0.01, "%v", count)
	assert.Equal(t, count["old"], 0)
}

// Guards against flows that move between services when the weights change a little, or whose copies go to different
// services because balancers list the services in another order.
func TestOrderIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 5).Draw(t, "weights")
		shares := make([]route.Share, 0, len(weights))
		for i, w := range weights {
			shares = append(shares, route.Share{Service: strconv.Itoa(i), Weight: float64(w)})
		}
		hash := rapid.Uint64().Draw(t, "hash")
		before := split.Order(hash, shares)
		assert.DeepEqual(t, split.Order(hash, rapid.Permutation(shares).Draw(t, "permutation")), before)
		if len(before) == 0 {
			return
		}
		raised := rapid.IntRange(0, len(shares)-1).Draw(t, "raised")
		shares[raised].Weight++
		after := split.Order(hash, shares)
		if after[0] != before[0] && after[0] != strconv.Itoa(raised) {
			t.Fatalf("moved from %s to %s when %d was raised", before[0], after[0], raised)
		}
	})
}

func ExampleOrder() {
	shares := []route.Share{{Service: "bookings", Weight: 1}, {Service: "bookings-old", Weight: 0}}
	fmt.Println(split.Order(7, shares))
	// Output: [bookings]
}
