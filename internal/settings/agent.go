package settings

import (
	"github.com/bramleymast/bramleymast/internal/strictjson"
	"github.com/bramleymast/bramleymast/pkg/finding"
)

// Agent holds the settings of an agent.
type Agent struct {
	daemon
	service         string
	backendURL      string
	certificateFile string
	keyFile         string
}

// Service returns the customer service of the backend server.
func (a Agent) Service() string { return a.service }

// BackendURL returns the URL of the backend server on this host.
func (a Agent) BackendURL() string { return a.backendURL }

// CertificateFile returns the PEM file with the certificate that the agent presents to callers.
func (a Agent) CertificateFile() string { return a.certificateFile }

// KeyFile returns the PEM file with the private key of the certificate.
func (a Agent) KeyFile() string { return a.keyFile }

// LoadAgent reads a settings file. The error holds all findings.
func LoadAgent(file string) (Agent, error) { return load[agentJSON, Agent](file) }

// DecodeAgent decodes and checks settings, which are valid only if the list of findings is empty.
func DecodeAgent(file string, data []byte) (Agent, finding.List) {
	return decode[agentJSON, Agent](file, data)
}

type agentJSON struct {
	daemonJSON
	Service         name   `json:"service" check:"required"`
	BackendURL      string `json:"backend_url" check:"required"`
	CertificateFile string `json:"certificate_file" check:"required"`
	KeyFile         string `json:"key_file" check:"required"`
}

func (r agentJSON) settings(s *strictjson.Source) Agent {
	checkURL(s, "backend_url", r.BackendURL)
	if len(r.Seeds) == 0 && s.Valid("seeds") {
		s.Addf("seeds", "the control address of at least one balancer", "is missing or empty")
	}
	return Agent{
		daemon:          r.daemon(s, s.File()),
		service:         string(r.Service),
		backendURL:      r.BackendURL,
		certificateFile: resolvePath(s.File(), r.CertificateFile),
		keyFile:         resolvePath(s.File(), r.KeyFile),
	}
}
