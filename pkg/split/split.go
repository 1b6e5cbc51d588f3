// Package split divides the new flows of a route between customer services by weight.
package split

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleymast/bramleymast/pkg/route"
)

// Order returns the services with a positive weight in the order in which a flow tries them; others get no flows. hash identifies the flow, so
// all balancers with the same weights return the same order. Each service is first with a probability proportional to its
// weight, and a change of the weights changes the first service of no more flows than it has to.
func Order(hash uint64, shares []route.Share) []string {
	ranked := make([]rankedService, 0, len(shares))
	for _, s := range shares {
		if s.Weight > 0 {
			ranked = append(ranked, rankedService{s.Service, score(hash, s)})
		}
	}
	slices.SortStableFunc(ranked, func(a, b rankedService) int {
		if a.score < b.score {
			return -1
		}
		if a.score > b.score {
			return 1
		}
		return 0
	})
	services := make([]string, 0, len(ranked))
	for _, r := range ranked {
		services = append(services, r.service)
	}
	return services
}

type rankedService struct {
	service string
	score   float64
}

// score is the time of the first event of a process whose rate is the weight, so that the lowest score falls to each
// service with a probability proportional to its weight.
func score(hash uint64, s route.Share) float64 {
	x := hash ^ xxhash.Sum64String(s.Service)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return -math.Log((float64(x>>11)+0.5)/(1<<53)) / s.Weight
}
