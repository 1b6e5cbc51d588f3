package passthrough

import (
	"github.com/bramleymast/bramleymast/pkg/route"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// configOrder is how a configuration relates to the current one.
type configOrder int

const (
	// configNewer means that it replaces the current one.
	configNewer configOrder = iota
	// configOlder means that it is ignored.
	configOlder
	// configReverted means that it is older although the store has it in a later era: the store has come back from a copy.
	configReverted
)

// compareConfigs compares a configuration with the current one, which may be nil. Within an era of the store the revision
// decides, between two eras the version, since the operator writes again what the store has lost.
func compareConfigs(t, current *route.Table) configOrder {
	if current == nil {
		return configNewer
	}
	at, currentAt := store.Revision(t.Revision()), store.Revision(current.Revision())
	if at.Era() == currentAt.Era() && at != currentAt {
		if at > currentAt {
			return configNewer
		}
		return configOlder
	}
	switch {
	case t.Version() > current.Version():
		return configNewer // Also if the store has lost it and another process has not.
	case at <= currentAt:
		return configOlder
	case t.Version() == current.Version():
		return configNewer
	}
	return configReverted
}
