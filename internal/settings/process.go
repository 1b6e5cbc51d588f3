package settings

import (
	"io"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bramleymast/bramleymast/internal/strictjson"
	"github.com/bramleymast/bramleymast/pkg/contract"
)

// Defaults of the daemons.
const (
	defaultHeartbeat = 1000 * time.Millisecond
	// defaultControlBudget is the maximum control traffic of a process in bytes per second.
	defaultControlBudget = 3072
)

// LogFormat is the format of log lines.
type LogFormat string

// Formats of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// UnmarshalText accepts "text" and "json".
func (f *LogFormat) UnmarshalText(text []byte) error {
	*f = LogFormat(text)
	if *f != LogText && *f != LogJSON {
		return errNotAllowed
	}
	return nil
}

// Allowed describes the allowed values.
func (f *LogFormat) Allowed() string { return `"text" or "json"` }

// Log holds the log settings of a process.
type Log struct {
	level  hclog.Level
	format LogFormat
}

// Level returns the lowest level that is logged.
func (l Log) Level() hclog.Level { return l.level }

// Format returns the format of the log lines.
func (l Log) Format() LogFormat { return l.format }

type logLevel hclog.Level

func (l *logLevel) UnmarshalText(text []byte) error {
	level := hclog.LevelFromString(string(text))
	*l = logLevel(level)
	if level == hclog.NoLevel || level == hclog.Off {
		return errNotAllowed
	}
	return nil
}

func (l *logLevel) Allowed() string { return `"trace", "debug", "info", "warn" or "error"` }

type logJSON struct {
	Level  logLevel  `json:"level"`
	Format LogFormat `json:"format"`
}

// daemon holds the settings that balancers and agents have in common.
type daemon struct {
	id             string
	zone           string
	dataAddress    netip.AddrPort
	controlAddress netip.AddrPort
	httpAddress    netip.AddrPort
	sharedKeyFile  string
	seeds          []netip.AddrPort
	heartbeat      time.Duration
	controlBudget  int
	log            Log
}

// ID returns the unique id of the process.
func (d daemon) ID() string { return d.id }

// Zone returns the availability zone in which the process runs.
func (d daemon) Zone() string { return d.zone }

// DataAddress returns the UDP address for packets between balancers and agents.
func (d daemon) DataAddress() netip.AddrPort { return d.dataAddress }

// ControlAddress returns the UDP and TCP address for control traffic.
func (d daemon) ControlAddress() netip.AddrPort { return d.controlAddress }

// HTTPAddress returns the address of the metrics and health endpoints.
func (d daemon) HTTPAddress() netip.AddrPort { return d.httpAddress }

// SharedKeyFile returns the file with the shared key of all processes.
func (d daemon) SharedKeyFile() string { return d.sharedKeyFile }

// Seeds returns the control addresses of balancers that the process contacts when it starts.
func (d daemon) Seeds() []netip.AddrPort { return slices.Clone(d.seeds) }

// Heartbeat returns the interval between heartbeats.
func (d daemon) Heartbeat() time.Duration { return d.heartbeat }

// ControlBudget returns the maximum control traffic that the process sends, in bytes per second.
func (d daemon) ControlBudget() int { return d.controlBudget }

// Log returns the log settings.
func (d daemon) Log() Log { return d.log }

type daemonJSON struct {
	ID                    name             `json:"id" check:"required"`
	Zone                  name             `json:"zone" check:"required"`
	DataAddress           netip.AddrPort   `json:"data_address" check:"required"`
	ControlAddress        netip.AddrPort   `json:"control_address" check:"required"`
	HTTPAddress           netip.AddrPort   `json:"http_address" check:"required"`
	SharedKeyFile         string           `json:"shared_key_file" check:"required"`
	Seeds                 []netip.AddrPort `json:"seeds"`
	HeartbeatMS           *int64           `json:"heartbeat_ms" min:"100" max:"60000"`
	ControlBytesPerSecond *int             `json:"control_bytes_per_second" min:"512" max:"1000000"`
	Log                   logJSON          `json:"log"`
}

func (r daemonJSON) daemon(s *strictjson.Source, file string) daemon {
	checkReachable(s, "data_address", r.DataAddress)
	checkReachable(s, "control_address", r.ControlAddress)
	d := daemon{
		id: string(r.ID), zone: string(r.Zone),
		dataAddress: r.DataAddress, controlAddress: r.ControlAddress, httpAddress: r.HTTPAddress,
		sharedKeyFile: resolvePath(file, r.SharedKeyFile),
		seeds:         r.Seeds,
		heartbeat:     defaultHeartbeat,
		controlBudget: defaultControlBudget,
		log:           r.Log.log(s),
	}
	if r.HeartbeatMS != nil {
		d.heartbeat = time.Duration(*r.HeartbeatMS) * time.Millisecond
	}
	if r.ControlBytesPerSecond != nil {
		d.controlBudget = *r.ControlBytesPerSecond
	}
	return d
}

func (r logJSON) log(s *strictjson.Source) Log {
	l := Log{level: hclog.Level(r.Level), format: r.Format}
	if !s.Has("log.level") {
		l.level = hclog.Info
	}
	if l.format == "" {
		l.format = LogText
	}
	return l
}

// name is the name of a process, a zone or a service. It must be valid as part of a store key.
type name string

func (n *name) UnmarshalText(text []byte) error {
	*n = name(text)
	if !contract.ValidName(string(text)) {
		return errNotAllowed
	}
	return nil
}

func (n *name) Allowed() string { return contract.AllowedName }

// checkReachable adds a finding for an unspecified address: peers take the address from the member record and cannot reach
// it.
func checkReachable(s *strictjson.Source, path string, a netip.AddrPort) {
	if a.IsValid() && a.Addr().IsUnspecified() {
		s.Addf(path, "an address that other processes can reach", "is %s", a)
	}
}

// checkURL adds a finding if text is not empty and not an HTTP URL with a host.
func checkURL(s *strictjson.Source, path, text string) {
	if text == "" || !s.Valid(path) {
		return
	}
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		s.Addf(path, "a URL such as http://127.0.0.1:8080", "is %q", text)
	}
}

// NewLogger returns a logger that writes to w with the level and format of the settings.
func (l Log) NewLogger(name string, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: l.level, Output: w, JSONFormat: l.format == LogJSON})
}
