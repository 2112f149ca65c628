// Package settings reads and validates the settings file of a host.
package settings

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Settings are the settings of one host, in JSON.
type Settings struct {
	HostID     model.HostID       `json:"host_id"`
	DataCentre model.DataCentreID `json:"data_centre"`
	Region     model.RegionID     `json:"region"`
	// CallerListen, OperatorListen and PeerListen are IP:port addresses.
	CallerListen   string `json:"caller_listen"`
	OperatorListen string `json:"operator_listen"`
	PeerListen     string `json:"peer_listen"`
	// StoreAddresses are the IP:port addresses of the platform's key-value service.
	StoreAddresses []string `json:"store_addresses"`
	// HostListAddress is the IP:port address of the platform's host list.
	HostListAddress string `json:"host_list_address"`
	// FleetKeyFiles are paths of the keys that authenticate peers and tokens. The first signs; all of them verify.
	FleetKeyFiles []string `json:"fleet_key_files"`
	LogLevel      string   `json:"log_level"`
}

// Load reads a settings file. Unknown fields are errors.
func Load(path string) (Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	var s Settings
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}
