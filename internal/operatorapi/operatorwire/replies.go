package operatorwire

import (
	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Entries lists entries of one kind in the catalogue in force.
type Entries struct {
	Generation model.Generation `json:"generation"`
	Entries    []change.Entry   `json:"entries"`
}

// History lists the recent changes, oldest first.
type History struct {
	Changes []change.Accepted `json:"changes"`
}

// Host describes a host as known to the host that answers.
type Host struct {
	membership.Member
	Out    bool   `json:"out"`
	Reason string `json:"reason,omitempty"`
}

// Hosts is the list of hosts, ordered by ID.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

// DataCentre describes a data centre with its numbers of hosts, targets and slots.
type DataCentre struct {
	model.DataCentreInfo
	Hosts   int    `json:"hosts"`
	Targets int    `json:"targets"`
	Slots   int    `json:"slots"`
	Out     bool   `json:"out"`
	Reason  string `json:"reason,omitempty"`
}

// DataCentres is the list of data centres in catalogue order.
type DataCentres struct {
	DataCentres []DataCentre `json:"data_centres"`
}

// HostStatus is the configuration status that a host reports about itself.
type HostStatus struct {
	Host       model.HostID       `json:"host" msgpack:"host"`
	DataCentre model.DataCentreID `json:"data_centre" msgpack:"data_centre"`
	// Generation is the generation in force at the host, or 0 if it has no configuration.
	Generation model.Generation `json:"generation" msgpack:"generation"`
	// InForceMS is the time in milliseconds since the host applied the generation, measured by its monotonic clock.
	InForceMS int64 `json:"in_force_ms" msgpack:"in_force_ms"`
	// Fenced reports whether the host refuses work because it may be cut off.
	Fenced bool `json:"fenced" msgpack:"fenced"`
	// Failure is the reason why the host did not answer, or empty if it answered.
	Failure string `json:"failure,omitempty" msgpack:"failure"`
}

// ConfigurationStatus describes the rollout of the newest generation.
type ConfigurationStatus struct {
	// Generation is the newest generation in force at any host.
	Generation model.Generation `json:"generation"`
	// Hosts is the number of members. InForce is the number of members that have the generation in force.
	Hosts   int `json:"hosts"`
	InForce int `json:"in_force"`
	// SpreadMS is the time in milliseconds between the first and the last host that applied the generation so far. Its
	// error is at most the duration of a call to a host.
	SpreadMS int64 `json:"spread_ms"`
	// Lagging lists the hosts that have an older generation or did not answer.
	Lagging []HostStatus `json:"lagging"`
	// Fenced lists the hosts that refuse new work because they may be cut off, regardless of their generation.
	Fenced []model.HostID `json:"fenced"`
}
