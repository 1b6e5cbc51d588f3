package settings

import (
	"net/netip"
	"slices"

	"github.com/bramleymast/bramleymast/internal/strictjson"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// Operator holds the settings of the operator commands.
type Operator struct {
	storeURL      string
	balancers     []netip.AddrPort
	sharedKeyFile string
	author        string
}

// StoreURL returns the URL of the platform's store.
func (o Operator) StoreURL() string { return o.storeURL }

// Balancers returns the control addresses of the balancers that are queried for the status.
func (o Operator) Balancers() []netip.AddrPort { return slices.Clone(o.balancers) }

// SharedKeyFile returns the file with the key that all processes share.
func (o Operator) SharedKeyFile() string { return o.sharedKeyFile }

// Author returns the name that is recorded as the author of changes.
func (o Operator) Author() string { return o.author }

// LoadOperator reads a settings file. The error holds all findings.
func LoadOperator(file string) (Operator, error) { return load[operatorJSON, Operator](file) }

// DecodeOperator decodes and checks settings, which are valid only if the list of findings is empty.
func DecodeOperator(file string, data []byte) (Operator, finding.List) {
	return decode[operatorJSON, Operator](file, data)
}

type operatorJSON struct {
	StoreURL      string           `json:"store_url" check:"required"`
	Balancers     []netip.AddrPort `json:"balancers"`
	SharedKeyFile string           `json:"shared_key_file"`
	Author        string           `json:"author" check:"required"`
}

func (r operatorJSON) settings(s *strictjson.Source) Operator {
	checkURL(s, "store_url", r.StoreURL)
	if len(r.Balancers) > 0 && r.SharedKeyFile == "" && s.Valid("shared_key_file") {
		s.Addf("shared_key_file", "the name of a file", "is missing, but balancers are given")
	}
	return Operator{
		storeURL:      r.StoreURL,
		balancers:     r.Balancers,
		sharedKeyFile: resolvePath(s.File(), r.SharedKeyFile),
		author:        r.Author,
	}
}
