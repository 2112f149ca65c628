package operatorwire

import (
	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Entries are entries of one kind of the catalogue in force.
type Entries struct {
	Generation model.Generation `json:"generation"`
	Entries    []change.Entry   `json:"entries"`
}

// History is the list of recent changes, oldest first.
type History struct {
	Changes []change.Accepted `json:"changes"`
}

// Host is one host as the answering host sees it.
type Host struct {
	membership.Member
	Out    bool   `json:"out"`
	Reason string `json:"reason,omitempty"`
}

// Hosts is the list of hosts, ordered by id.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

// DataCentre is one data centre with what it holds.
type DataCentre struct {
	model.DataCentreInfo
	Hosts   int    `json:"hosts"`
	Targets int    `json:"targets"`
	Slots   int    `json:"slots"`
	Out     bool   `json:"out"`
	Reason  string `json:"reason,omitempty"`
}

// DataCentres is the list of data centres in the order of the catalogue.
type DataCentres struct {
	DataCentres []DataCentre `json:"data_centres"`
}

// HostStatus is the configuration status of one host, by its own word.
type HostStatus struct {
	Host       model.HostID       `json:"host" msgpack:"host"`
	DataCentre model.DataCentreID `json:"data_centre" msgpack:"data_centre"`
	// Generation is in force at the host; 0 if it has no configuration.
	Generation model.Generation `json:"generation" msgpack:"generation"`
	// InForceMS is the time in milliseconds since the host applied the generation, by its monotonic clock.
	InForceMS int64 `json:"in_force_ms" msgpack:"in_force_ms"`
	// Fenced tells whether the host refuses work because it may be cut off.
	Fenced bool `json:"fenced" msgpack:"fenced"`
	// Failure tells why there is no answer from the host; empty if there is one.
	Failure string `json:"failure,omitempty" msgpack:"failure"`
}

// ConfigurationStatus tells how far the newest generation has spread.
type ConfigurationStatus struct {
	// Generation is the newest one that any host has in force.
	Generation model.Generation `json:"generation"`
	// Hosts is the number of members, and InForce the number of those that have the generation in force.
	Hosts   int `json:"hosts"`
	InForce int `json:"in_force"`
	// SpreadMS is the time in milliseconds from the first to the last application so far. It is off by the duration of a
	// call to a host at most.
	SpreadMS int64 `json:"spread_ms"`
	// Lagging are the hosts that have an older generation or did not answer.
	Lagging []HostStatus `json:"lagging"`
	// Fenced are the hosts that refuse new work because they may be cut off, whatever their generation.
	Fenced []model.HostID `json:"fenced"`
}
