// Package settings reads and validates the settings file of a host.
package settings

import (
	"fmt"
	"os"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/strictjson"
)

// Settings are the settings of one host, in JSON. Secrets are named by the path of their file, so that settings can be
// shown in logs and dumps.
type Settings struct {
	// HostID names the host. It stays the same over restarts; no two hosts share it.
	HostID model.HostID `json:"host_id"`
	// DataCentre names the data centre that the host is in, as in the catalogue.
	DataCentre model.DataCentreID `json:"data_centre"`
	// Region names the region of the data centre, as in the catalogue.
	Region model.RegionID `json:"region"`
	// CallerListen is the IP:port address of the caller listener. An unspecified IP listens on every interface.
	CallerListen string `json:"caller_listen"`
	// OperatorListen is the IP:port address of the operator listener. An unspecified IP listens on every interface.
	OperatorListen string `json:"operator_listen"`
	// PeerListen is the IP:port address of the peer listener. Other hosts connect to it, so the IP must be specified.
	PeerListen string `json:"peer_listen"`
	// StoreAddresses are the IP:port addresses of the platform's key-value service, tried in order.
	StoreAddresses []string `json:"store_addresses"`
	// HostListAddress is the IP:port address of the platform's host list.
	HostListAddress string `json:"host_list_address"`
	// FleetKeyFiles are paths of the keys that authenticate peers and tokens. The first signs; all of them verify. One
	// or two may be valid, so that the key can be rotated.
	FleetKeyFiles []string `json:"fleet_key_files"`
	// OperatorTokenFiles are paths of the tokens that operators may present. One or two may be valid, so that the token
	// can be rotated. Without any, the operator listener answers only /metrics, /healthz and /readyz.
	OperatorTokenFiles []string `json:"operator_token_files"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error. Default info.
	LogLevel string `json:"log_level"`
	// LogFormat is json or console. Default json.
	LogFormat string `json:"log_format"`
}

// Load reads and validates a settings file. The error lists every fault.
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

// Decode reads settings and returns every fault of form and value.
func Decode(content []byte) (Settings, strictjson.Faults) {
	var s Settings
	form := strictjson.Decode(content, &s)
	s.setDefaults()
	return s, strictjson.Merge(form, s.Validate())
}

func (s *Settings) setDefaults() {
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.LogFormat == "" {
		s.LogFormat = LogFormatJSON
	}
}
