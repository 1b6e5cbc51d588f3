package settings

import (
	"net/netip"

	"github.com/bramleymast/bramleymast/internal/strictjson"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// Balancer is the settings of a balancer.
type Balancer struct {
	daemon
	bindIP   netip.Addr
	storeURL string
}

// BindIP returns the IP on which service addresses are opened, or the zero value for the contracts' own.
func (b Balancer) BindIP() netip.Addr { return b.bindIP }

// StoreURL returns the URL of the platform's store.
func (b Balancer) StoreURL() string { return b.storeURL }

// LoadBalancer reads a file; the error holds every finding.
func LoadBalancer(file string) (Balancer, error) { return load[balancerJSON, Balancer](file) }

// DecodeBalancer reads and checks settings; they are valid only when the list is empty.
func DecodeBalancer(file string, data []byte) (Balancer, finding.List) {
	return decode[balancerJSON, Balancer](file, data)
}

type balancerJSON struct {
	daemonJSON
	BindIP   netip.Addr `json:"bind_ip"`
	StoreURL string     `json:"store_url" check:"required"`
}

func (r balancerJSON) settings(s *strictjson.Source) Balancer {
	checkURL(s, "store_url", r.StoreURL)
	return Balancer{daemon: r.daemon(s, s.File()), bindIP: r.BindIP, storeURL: r.StoreURL}
}
