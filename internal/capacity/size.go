package capacity

import "time"

// Size is the size of a system and the rate of its changes.
type Size struct {
	Balancers int
	Agents    int
	Services  int
	Zones     int
	Regions   int
	// ChangesPerDay counts changes of the configuration.
	ChangesPerDay float64
	// ReplacedPerDay counts hosts that restart, are replaced or fail.
	ReplacedPerDay float64
	// RackHosts is the number of hosts in a rack, with balancers and agents in the same ratio as in the system.
	RackHosts int
	Heartbeat time.Duration
	// CoMembers is the number of other agents of the service to which an agent reports its load.
	CoMembers int
}

// DesignSize returns the size stated on the design page. The page does not state the hosts in a rack; 40 is an assumption.
func DesignSize() Size {
	return Size{
		Balancers: 2900, Agents: 22000, Services: 5700, Zones: 8, Regions: 3,
		ChangesPerDay: 9700, ReplacedPerDay: 9700 + 45, RackHosts: 40, Heartbeat: 2 * time.Second, CoMembers: 3,
	}
}

// Scale multiplies the processes, services and changes by k; zones, regions and racks keep their size.
func (s Size) Scale(k float64) Size {
	s.Balancers = int(float64(s.Balancers) * k)
	s.Agents = int(float64(s.Agents) * k)
	s.Services = int(float64(s.Services) * k)
	s.ChangesPerDay *= k
	s.ReplacedPerDay *= k
	return s
}

// Limits from the design page for one node and for the store.
const (
	limitBytes       = 3072.0    // bytes a second
	limitCorePercent = 3.7       // percent of a core
	limitMemory      = 256.0     // MB
	limitWrites      = 300.0     // a second
	limitReads       = 1000.0    // a second
	limitInForce     = 14.0      // seconds
	secondsPerDay    = 24 * 3600 // seconds
)
