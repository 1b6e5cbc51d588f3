package settings

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bramleymast/bramleymast/internal/strictjson"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// StandinStore holds the settings of the stand-in for the platform's store.
type StandinStore struct {
	address      netip.AddrPort
	adminAddress netip.AddrPort
}

// Address returns the address of the store's HTTP interface.
func (o StandinStore) Address() netip.AddrPort { return o.address }

// AdminAddress returns the address on which faults are set, or the zero value for none.
func (o StandinStore) AdminAddress() netip.AddrPort { return o.adminAddress }

// LoadStandinStore reads a settings file. The error holds all findings.
func LoadStandinStore(file string) (StandinStore, error) {
	return load[standinStoreJSON, StandinStore](file)
}

// DecodeStandinStore decodes and checks settings, which are valid only if the list of findings is empty.
func DecodeStandinStore(file string, data []byte) (StandinStore, finding.List) {
	return decode[standinStoreJSON, StandinStore](file, data)
}

type standinStoreJSON struct {
	Address      netip.AddrPort `json:"address" check:"required"`
	AdminAddress netip.AddrPort `json:"admin_address"`
}

func (r standinStoreJSON) settings(*strictjson.Source) StandinStore {
	return StandinStore{address: r.Address, adminAddress: r.AdminAddress}
}

// StandinFabric holds the settings of the stand-in for the packet fabric.
type StandinFabric struct {
	services     []netip.AddrPort
	balancers    []FabricBalancer
	adminAddress netip.AddrPort
	seed         int64
}

// FabricBalancer is a balancer to which the fabric sends packets while the balancer is ready.
type FabricBalancer struct {
	ip       netip.Addr
	readyURL string
}

// IP returns the IP address to which the fabric sends packets; the port is that of the service address.
func (b FabricBalancer) IP() netip.Addr { return b.ip }

// ReadyURL returns the URL that responds with status 200 while the balancer is ready.
func (b FabricBalancer) ReadyURL() string { return b.readyURL }

// Services returns the service addresses whose packets the fabric distributes.
func (o StandinFabric) Services() []netip.AddrPort { return slices.Clone(o.services) }

// Balancers returns the balancers.
func (o StandinFabric) Balancers() []FabricBalancer { return slices.Clone(o.balancers) }

// AdminAddress returns the address on which faults are set, or the zero value for none.
func (o StandinFabric) AdminAddress() netip.AddrPort { return o.adminAddress }

// Seed returns the seed of the random choices.
func (o StandinFabric) Seed() int64 { return o.seed }

// LoadStandinFabric reads a settings file. The error holds all findings.
func LoadStandinFabric(file string) (StandinFabric, error) {
	return load[standinFabricJSON, StandinFabric](file)
}

// DecodeStandinFabric decodes and checks settings, which are valid only if the list of findings is empty.
func DecodeStandinFabric(file string, data []byte) (StandinFabric, finding.List) {
	return decode[standinFabricJSON, StandinFabric](file, data)
}

type fabricBalancerJSON struct {
	IP       netip.Addr `json:"ip" check:"required"`
	ReadyURL string     `json:"ready_url" check:"required"`
}

type standinFabricJSON struct {
	Services     []netip.AddrPort     `json:"services" check:"required"`
	Balancers    []fabricBalancerJSON `json:"balancers" check:"required"`
	AdminAddress netip.AddrPort       `json:"admin_address"`
	Seed         int64                `json:"seed"`
}

func (r standinFabricJSON) settings(s *strictjson.Source) StandinFabric {
	o := StandinFabric{services: r.Services, adminAddress: r.AdminAddress, seed: r.Seed}
	for i, b := range r.Balancers {
		checkURL(s, strictjson.ItemPath("balancers", i)+".ready_url", b.ReadyURL)
		o.balancers = append(o.balancers, FabricBalancer{ip: b.IP, readyURL: b.ReadyURL})
	}
	return o
}

// StandinBackend holds the settings of the stand-in for a backend server.
type StandinBackend struct {
	address      netip.AddrPort
	service      string
	slots        int
	coldSlots    int
	coldStart    time.Duration
	adminAddress netip.AddrPort
}

// Address returns the address of the backend server's HTTP interface.
func (o StandinBackend) Address() netip.AddrPort { return o.address }

// Service returns the customer service of the backend server.
func (o StandinBackend) Service() string { return o.service }

// Slots returns the maximum number of concurrent requests when the backend server is warm.
func (o StandinBackend) Slots() int { return o.slots }

// ColdSlots returns the maximum number of concurrent requests during cold start.
func (o StandinBackend) ColdSlots() int { return o.coldSlots }

// ColdStart returns the duration of a cold start.
func (o StandinBackend) ColdStart() time.Duration { return o.coldStart }

// AdminAddress returns the address on which faults are set, or the zero value for none.
func (o StandinBackend) AdminAddress() netip.AddrPort { return o.adminAddress }

// LoadStandinBackend reads a settings file. The error holds all findings.
func LoadStandinBackend(file string) (StandinBackend, error) {
	return load[standinBackendJSON, StandinBackend](file)
}

// DecodeStandinBackend decodes and checks settings, which are valid only if the list of findings is empty.
func DecodeStandinBackend(file string, data []byte) (StandinBackend, finding.List) {
	return decode[standinBackendJSON, StandinBackend](file, data)
}

type standinBackendJSON struct {
	Address      netip.AddrPort `json:"address" check:"required"`
	Service      name           `json:"service" check:"required"`
	Slots        int            `json:"slots" check:"required" min:"1" max:"100000"`
	ColdSlots    int            `json:"cold_slots" check:"required" min:"1" max:"100000"`
	ColdMS       int64          `json:"cold_ms" min:"0" max:"3600000"`
	AdminAddress netip.AddrPort `json:"admin_address"`
}

func (r standinBackendJSON) settings(s *strictjson.Source) StandinBackend {
	if s.Valid("slots") && s.Valid("cold_slots") && r.ColdSlots > r.Slots {
		s.Addf("cold_slots", "1 to slots", "is %d", r.ColdSlots)
	}
	return StandinBackend{
		address: r.Address, service: string(r.Service), slots: r.Slots, coldSlots: r.ColdSlots,
		coldStart: time.Duration(r.ColdMS) * time.Millisecond, adminAddress: r.AdminAddress,
	}
}

// defaultCallerTimeout is the default timeout of a caller for a complete response.
const defaultCallerTimeout = 10 * time.Second

// StandinCaller holds the settings of the stand-in for a caller.
type StandinCaller struct {
	address                  netip.AddrPort
	service                  string
	certificateAuthorityFile string
	requests                 int
	seed                     int64
	timeout                  time.Duration
}

// Address returns the service address that the caller sends requests to.
func (o StandinCaller) Address() netip.AddrPort { return o.address }

// Service returns the customer service that the caller requests; the certificate of the service must be valid for this name.
func (o StandinCaller) Service() string { return o.service }

// CertificateAuthorityFile returns the PEM file with the trusted certificates.
func (o StandinCaller) CertificateAuthorityFile() string { return o.certificateAuthorityFile }

// Requests returns the number of requests to send.
func (o StandinCaller) Requests() int { return o.requests }

// Seed returns the seed of the random choices.
func (o StandinCaller) Seed() int64 { return o.seed }

// Timeout returns the timeout for a complete response.
func (o StandinCaller) Timeout() time.Duration { return o.timeout }

// LoadStandinCaller reads a settings file. The error holds all findings.
func LoadStandinCaller(file string) (StandinCaller, error) {
	return load[standinCallerJSON, StandinCaller](file)
}

// DecodeStandinCaller decodes and checks settings, which are valid only if the list of findings is empty.
func DecodeStandinCaller(file string, data []byte) (StandinCaller, finding.List) {
	return decode[standinCallerJSON, StandinCaller](file, data)
}

type standinCallerJSON struct {
	Address                  netip.AddrPort `json:"address" check:"required"`
	Service                  name           `json:"service" check:"required"`
	CertificateAuthorityFile string         `json:"certificate_authority_file" check:"required"`
	Requests                 int            `json:"requests" check:"required" min:"1" max:"1000000"`
	Seed                     int64          `json:"seed"`
	TimeoutMS                *int64         `json:"timeout_ms" min:"1" max:"600000"`
}

func (r standinCallerJSON) settings(s *strictjson.Source) StandinCaller {
	o := StandinCaller{
		address: r.Address, service: string(r.Service), certificateAuthorityFile: resolvePath(s.File(), r.CertificateAuthorityFile),
		requests: r.Requests, seed: r.Seed, timeout: defaultCallerTimeout,
	}
	if r.TimeoutMS != nil {
		o.timeout = time.Duration(*r.TimeoutMS) * time.Millisecond
	}
	return o
}
