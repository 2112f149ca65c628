package gateway

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/knapweedrouter/knapweedrouter/internal/hostlimits"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/strictjson"
)

// minPeerKey is the minimum length of the peer key in characters.
const minPeerKey = 16

// Settings holds the settings of a gateway, as documented in docs/settings.md.
type Settings struct {
	// HostID identifies the host. It is unique and stable across restarts.
	HostID     model.HostID       `json:"host_id"`
	DataCentre model.DataCentreID `json:"data_centre"`
	Region     model.RegionID     `json:"region"`
	// CallerListen, ReadyListen and OperatorListen are the IP:port addresses for callers, readiness probes and metrics.
	CallerListen   string `json:"caller_listen"`
	ReadyListen    string `json:"ready_listen"`
	OperatorListen string `json:"operator_listen"`
	// PeerListen is the IP:port address at which other hosts reach this one.
	PeerListen string `json:"peer_listen"`
	// PeerKey authenticates frames between hosts. It is the same for all hosts of a deployment.
	PeerKey string `json:"peer_key"`
	// LinkMbps is the bandwidth of the host's link. Hosts with a fast link claim relay slots first.
	LinkMbps float64 `json:"link_mbps"`
	// MemoryMB is the memory of the host in MB, 0 if it is not known. It bounds what is
	// held for callers and the replies of targets held at a time.
	MemoryMB float64 `json:"memory_mb"`
	// MaxFDs is the number of file descriptors that the process may have open, 0 if only the system limits them. It bounds the
	// connections of callers and to targets. It comes from the command line.
	MaxFDs int `json:"-"`
	// StoreAddress is the IP:port address of the store.
	StoreAddress string `json:"store_address"`
	// ExtraRatio and ExtraSlack limit the extra attempts at a service per budget window, over all hosts: ratio times
	// the requests for the service, plus slack.
	ExtraRatio float64 `json:"extra_ratio"`
	ExtraSlack float64 `json:"extra_slack"`
	// StopSeconds is the time between the stop signal and the kill.
	StopSeconds float64 `json:"stop_seconds"`
	// ChangeBound is the time within which changes must be in force after the store has acknowledged them, 0 if none is stated. It comes
	// from the command line.
	ChangeBound time.Duration `json:"-"`
}

// ParseChangeBound returns the shortest of several times in ms, separated by commas, of which some may be empty; 0 if none is stated.
func ParseChangeBound(times string) (time.Duration, error) {
	least := time.Duration(0)
	for text := range strings.SplitSeq(times, ",") {
		if text == "" {
			continue
		}
		ms, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return 0, eris.Wrapf(err, "--change-ms %s: set whole numbers of ms, separated by commas", times)
		}
		if bound := time.Duration(ms) * time.Millisecond; bound > 0 && (least == 0 || bound < least) {
			least = bound
		}
	}
	return least, nil
}

// Limits returns the limits of the host.
func (s Settings) Limits() hostlimits.Limits {
	return hostlimits.Limits{MemoryMB: s.MemoryMB, MaxFDs: s.MaxFDs}
}

// LoadSettings reads and validates a settings file.
func LoadSettings(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings: cannot read the file; give a file that exists and is readable")
	}
	s, faults := DecodeSettings(content)
	return s, eris.Wrap(faults.OrNil(), "settings "+path)
}

// DecodeSettings decodes settings and returns all faults found.
func DecodeSettings(content []byte) (Settings, strictjson.Faults) {
	var s Settings
	faults := strictjson.Decode(content, &s)
	return s, strictjson.Merge(faults, s.Validate())
}

// Validate returns all invalid values.
func (s Settings) Validate() strictjson.Faults {
	var faults strictjson.Faults
	add := func(field string, value any, allowed, remedy string) {
		faults = append(faults, strictjson.Fault{Path: "$." + field, Value: strictjson.Show(value), Allowed: allowed, Remedy: remedy})
	}
	for _, name := range []struct{ field, value string }{
		{"host_id", string(s.HostID)}, {"data_centre", string(s.DataCentre)}, {"region", string(s.Region)},
	} {
		if name.value == "" {
			add(name.field, name.value, "a name", "set a name")
		}
	}
	for _, address := range []struct{ field, value string }{
		{"caller_listen", s.CallerListen}, {"ready_listen", s.ReadyListen}, {"operator_listen", s.OperatorListen},
		{"peer_listen", s.PeerListen}, {"store_address", s.StoreAddress},
	} {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			add(address.field, address.value, "IP:port", fmt.Sprintf("set an IP:port address: %v", err))
		}
	}
	if s.MemoryMB < 0 {
		add("memory_mb", s.MemoryMB, "0 or more", "set the memory of the host, or 0 if it is not known")
	}
	if s.ExtraRatio < 0 {
		add("extra_ratio", s.ExtraRatio, "0 or more", "set a non-negative number")
	}
	if s.ExtraSlack < 0 {
		add("extra_slack", s.ExtraSlack, "0 or more", "set a non-negative number")
	}
	if len(s.PeerKey) < minPeerKey {
		add("peer_key", "(secret)", fmt.Sprintf("%d characters or more", minPeerKey), "set a longer key, identical on all hosts")
	}
	if s.StopSeconds <= 0 {
		add("stop_seconds", s.StopSeconds, "more than 0", "set the time that the process has to stop")
	}
	return faults
}
