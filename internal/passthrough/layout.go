package passthrough

import (
	"encoding/json"
	"net/netip"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/route"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// Layout defines the store keys of the operator's configuration.
type Layout struct {
	// OperatorPrefix is the prefix of all entries that operators write.
	OperatorPrefix string
	// ConfigKey is the key of the configuration, which includes the routes.
	ConfigKey string
	// ZonesOutPrefix is the prefix of the keys of zones that are out of service.
	ZonesOutPrefix string
	// DecodeConfig decodes the value of ConfigKey.
	DecodeConfig func(value []byte, revision store.Revision) (*route.Table, error)
}

// agentsPrefix is the prefix of agent entries; the agent's ID follows.
const agentsPrefix = "bramleymast/agents/"

// agentEntry is the value that an agent writes to the store.
type agentEntry struct {
	Service  string         `json:"service"`
	Zone     string         `json:"zone"`
	Address  netip.AddrPort `json:"address"`
	Draining bool           `json:"draining"`
	// Run is the run of the backend server whose heartbeats the agent receives.
	Run backendRun `json:"run,omitzero"`
	// Process identifies the process that wrote the entry.
	Process uint64 `json:"process,omitempty"`
}

// backendRun identifies a run of a backend server.
type backendRun struct {
	ID        string `json:"id"`
	StartedMS int64  `json:"started_ms"` // Unix time by the clock of the backend server
}

// errInvalidEntry means that a store entry under agentsPrefix was not written by an agent.
const errInvalidEntry = errors.ConstError("invalid agent entry")

func decodeAgent(value []byte) (board.Agent, error) {
	var e agentEntry
	if err := json.Unmarshal(value, &e); err != nil {
		return board.Agent{}, errors.Annotatef(errInvalidEntry, "%v", err)
	}
	if e.Service == "" || !e.Address.IsValid() || !e.Address.Addr().Is4() {
		return board.Agent{}, errors.Annotatef(errInvalidEntry, "service %q, address %s: a service and an IPv4 address are required", e.Service, e.Address)
	}
	a := board.Agent{Service: e.Service, Zone: e.Zone, Phase: board.PhaseReady, DataAddress: e.Address, ControlAddress: e.Address}
	if e.Draining {
		a.Phase = board.PhaseDraining
	}
	return a, nil
}

// encode returns the value that decodeAgent decodes.
func (e agentEntry) encode() []byte {
	value, err := json.Marshal(e)
	if err != nil {
		panic(err) // Strings, an address and a bool can always be encoded.
	}
	return value
}
