// Package settings reads and validates the settings file of a host.
package settings

import (
	"fmt"
	"os"

	"github.com/knapweedrouter/knapweedrouter/internal/hostlimits"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/strictjson"
)

// Settings holds the settings of a host. It contains the paths of secret files instead of the secrets, so that it can be
// written to logs and state dumps.
type Settings struct {
	// HostID is the unique ID of the host. It does not change across restarts.
	HostID model.HostID `json:"host_id"`
	// DataCentre is the catalogue ID of the host's data centre.
	DataCentre model.DataCentreID `json:"data_centre"`
	// Region is the catalogue ID of the data centre's region.
	Region model.RegionID `json:"region"`
	// CallerListen is the IP:port address of the caller listener. An unspecified IP listens on every interface.
	CallerListen string `json:"caller_listen"`
	// OperatorListen is the IP:port address of the operator listener. An unspecified IP listens on every interface.
	OperatorListen string `json:"operator_listen"`
	// PeerListen is the IP:port address of the peer listener. Other hosts connect to it, so the IP must not be unspecified.
	PeerListen string `json:"peer_listen"`
	// StoreAddresses lists the IP:port addresses of the platform's key-value service. They are tried in order.
	StoreAddresses []string `json:"store_addresses"`
	// HostListAddress is the IP:port address of the platform's host list.
	HostListAddress string `json:"host_list_address"`
	// FleetKeyFiles lists the files with the keys that authenticate peers and tokens. The first key is used to sign, all
	// keys are used to verify. One or two keys may be valid at a time to allow rotation.
	FleetKeyFiles []string `json:"fleet_key_files"`
	// OperatorTokenFiles lists the files with the valid operator tokens. One or two tokens may be valid at a time to allow
	// rotation. If the list is empty, the operator listener serves only /metrics, /healthz and /readyz.
	OperatorTokenFiles []string `json:"operator_token_files"`
	// MemoryMB is the memory of the host in MB, 0 if it is not known. It bounds what is held for callers.
	MemoryMB float64 `json:"memory_mb"`
	// MaxFDs is the number of file descriptors that the process may have open, 0 if only the system limits them. It bounds
	// the connections of callers.
	MaxFDs int `json:"max_fds"`
	// LogLevel is the minimum level of logged messages: debug, info, warn or error. The default is info.
	LogLevel string `json:"log_level"`
	// LogFormat is json or console. The default is json.
	LogFormat string `json:"log_format"`
}

// Limits returns the limits of the host.
func (s Settings) Limits() hostlimits.Limits {
	return hostlimits.Limits{MemoryMB: s.MemoryMB, MaxFDs: s.MaxFDs}
}

// Load reads and validates a settings file. The error lists all faults.
func Load(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s, faults := Decode(content)
	if len(faults) > 0 {
		return Settings{}, fmt.Errorf("settings %s:\n%w", path, faults)
	}
	return s, nil
}

// Decode decodes and validates settings and returns all faults.
func Decode(content []byte) (Settings, strictjson.Faults) {
	var s Settings
	decodeFaults := strictjson.Decode(content, &s)
	s.setDefaults()
	return s, strictjson.Merge(decodeFaults, s.Validate())
}

func (s *Settings) setDefaults() {
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.LogFormat == "" {
		s.LogFormat = LogFormatJSON
	}
}
