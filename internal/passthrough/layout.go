package passthrough

import (
	"encoding/json"
	"net/netip"

	"github.com/juju/errors"

	"github.com/bramleymast/bramleymast/pkg/board"
	"github.com/bramleymast/bramleymast/pkg/route"
	"github.com/bramleymast/bramleymast/pkg/store"
)

// Layout says where the operator's configuration is in the store.
type Layout struct {
	// OperatorPrefix is the prefix of all that operators write.
	OperatorPrefix string
	// ConfigKey is the key of the routes.
	ConfigKey string
	// ZonesOutPrefix is the prefix of the keys that name the zones that are out of service.
	ZonesOutPrefix string
	// DecodeConfig reads the value of Config.
	DecodeConfig func(value []byte, revision store.Revision) (*route.Table, error)
}

// agentsPrefix is the prefix of the agents' own entries, each followed by the agent's id.
const agentsPrefix = "bramleymast/agents/"

// agentEntry is what an agent writes to the store.
type agentEntry struct {
	Service  string         `json:"service"`
	Zone     string         `json:"zone"`
	Address  netip.AddrPort `json:"address"`
	Draining bool           `json:"draining"`
}

// errEntry means that an entry in the store was not written by an agent.
const errEntry = errors.ConstError("not an agent's entry")

func decodeAgent(value []byte) (board.Agent, error) {
	var e agentEntry
	if err := json.Unmarshal(value, &e); err != nil {
		return board.Agent{}, errors.Annotatef(errEntry, "%v", err)
	}
	if e.Service == "" || !e.Address.IsValid() || !e.Address.Addr().Is4() {
		return board.Agent{}, errors.Annotate(errEntry, "no service or address")
	}
	a := board.Agent{Service: e.Service, Zone: e.Zone, Phase: board.PhaseReady, DataAddress: e.Address, ControlAddress: e.Address}
	if e.Draining {
		a.Phase = board.PhaseDraining
	}
	return a, nil
}

// encode returns the value that decodeAgent reads.
func (e agentEntry) encode() []byte {
	value, err := json.Marshal(e)
	if err != nil {
		panic(err) // The fields are texts, an address and a flag, which can always be encoded.
	}
	return value
}
