package settings

import (
	"net/netip"

	"github.com/bramleymast/bramleymast/internal/strictjson"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// Balancer holds the settings of a balancer.
type Balancer struct {
	daemon
	bindIP   netip.Addr
	storeURL string
}

// BindIP returns the IP on which the balancer opens service addresses, or the zero value to use those in the contracts.
func (b Balancer) BindIP() netip.Addr { return b.bindIP }

// StoreURL returns the URL of the platform's store.
func (b Balancer) StoreURL() string { return b.storeURL }

// LoadBalancer reads a settings file. The error holds all findings.
func LoadBalancer(file string) (Balancer, error) { return load[balancerJSON, Balancer](file) }

// DecodeBalancer decodes and checks settings, which are valid only if the list of findings is empty.
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
