package passthrough

import (
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/route"
)

// Feature is an optional behavior that a deployment asks for by name.
type Feature string

// Features.
const (
	// FlowRecords keeps a record of open flows in the store, so that flows lost with a host are reset before their
	// callers use them.
	FlowRecords Feature = "flow_records"
	// Detours sends packets around links on which nothing passes.
	Detours Feature = "detours"
	// LearnedCapacity places flows by the capacity that each backend server shows.
	LearnedCapacity Feature = "learned_capacity"
	// RequestPriorities orders requests by the priority of their routes while capacity is short.
	RequestPriorities Feature = "request_priorities"
	// RouteSplit divides new flows between the services of a route by their weights.
	RouteSplit Feature = "route_split"
	// UnevenHosts lets weak entry hosts rely on strong ones for changes in the store.
	UnevenHosts Feature = "uneven_hosts"
)

// allFeatures lists the features in the order of the documentation.
var allFeatures = []Feature{FlowRecords, Detours, LearnedCapacity, RequestPriorities, RouteSplit, UnevenHosts}

// Features is a set of features; the zero value is empty.
type Features struct {
	enabled []Feature
}

// NewFeatures returns a set of features.
func NewFeatures(enabled ...Feature) Features { return Features{enabled: enabled} }

// ParseFeatures parses a comma-separated list of features; it may be empty.
func ParseFeatures(text string) (Features, error) {
	var f Features
	for _, name := range strings.Split(text, ",") {
		if name == "" {
			continue
		}
		if !slices.Contains(allFeatures, Feature(name)) {
			return Features{}, errors.Errorf("unknown feature %q, allowed are %v", name, allFeatures)
		}
		f.enabled = append(f.enabled, Feature(name))
	}
	return f, nil
}

// Has reports whether a feature is in the set.
func (f Features) Has(feature Feature) bool { return slices.Contains(f.enabled, feature) }

// attemptTimeout returns how long callers of a route wait for an answer before they try again; 0 without the feature that
// orders requests by what callers need.
func (f Features) attemptTimeout(r route.Route) time.Duration {
	if !f.Has(RequestPriorities) {
		return 0
	}
	return r.AttemptTimeout()
}
