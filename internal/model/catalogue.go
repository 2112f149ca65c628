package model

import "time"

// Class is the priority class of a caller.
type Class string

// The classes, from the highest priority to the lowest.
const (
	ClassInteractive Class = "interactive"
	ClassCounter     Class = "counter"
	ClassBatch       Class = "batch"
)

// Catalogue is the configuration that operators change.
type Catalogue struct {
	Generation     Generation       `json:"generation"`
	Callers        []Caller         `json:"callers"`
	Searches       []Search         `json:"searches"`
	Indexes        []Index          `json:"indexes"`
	Services       []Service        `json:"services"`
	Targets        []Target         `json:"targets"`
	HostsOut       []HostOut        `json:"hosts_out"`
	DataCentresOut []DataCentreOut  `json:"data_centres_out"`
	DataCentres    []DataCentreInfo `json:"data_centres"`
}

// Caller is a catalogue entry that identifies a client and sets its permissions and limits.
type Caller struct {
	ID    CallerID `json:"id"`
	Owner string   `json:"owner"`
	Class Class    `json:"class"`
	// TokenSHA256 lists the hexadecimal SHA-256 hashes of the tokens that the caller may present. Two tokens may be
	// valid at the same time to allow rotation.
	TokenSHA256 []string `json:"token_sha256"`
	// Rate is the limit on requests per second over all hosts.
	Rate float64 `json:"rate"`
	// InFlight is the limit on concurrent requests over all hosts.
	InFlight int `json:"in_flight"`
	// Cost is the limit on target attempts per second over all hosts, including hedges and retries.
	Cost     float64     `json:"cost"`
	Searches []SearchID  `json:"searches"`
	Services []ServiceID `json:"services"`
}

// Search is a named list of indexes that are queried together.
type Search struct {
	ID      SearchID  `json:"id"`
	Indexes []IndexID `json:"indexes"`
}

// Index is a sharded index. Every target of a group holds the same shards.
type Index struct {
	ID     IndexID `json:"id"`
	Groups []Group `json:"groups"`
}

// Group is a set of targets that are replicas of each other.
type Group struct {
	ID      string     `json:"id"`
	Targets []TargetID `json:"targets"`
}

// Service is a set of interchangeable targets that execute operations.
type Service struct {
	ID ServiceID `json:"id"`
	// Repeatable reports whether operations are idempotent and may run more than once.
	Repeatable bool       `json:"repeatable"`
	Targets    []TargetID `json:"targets"`
}

// Target is a back-end server.
type Target struct {
	ID         TargetID     `json:"id"`
	Address    string       `json:"address"`
	DataCentre DataCentreID `json:"data_centre"`
	// Slots is the number of requests that the target can run concurrently when it is warm.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that the target accepts, over all hosts.
	Connections int `json:"connections"`
	// ColdSlots is the number of requests that the target can run concurrently during a cold start, over all hosts.
	ColdSlots int `json:"cold_slots"`
	// ConnectTimeMS is the typical time to establish a connection, in milliseconds.
	ConnectTimeMS float64 `json:"connect_time_ms"`
}

// DataCentreInfo describes a data centre.
type DataCentreInfo struct {
	ID     DataCentreID `json:"id"`
	Region RegionID     `json:"region"`
}

// HostOut marks a host that operators have taken out of service.
type HostOut struct {
	ID     HostID     `json:"id"`
	Reason string     `json:"reason"`
	Since  Generation `json:"since"`
}

// DataCentreOut marks a data centre that operators have taken out of service.
type DataCentreOut struct {
	ID     DataCentreID `json:"id"`
	Reason string       `json:"reason"`
	Since  Generation   `json:"since"`
}

// TargetState is the state that a target reports.
type TargetState string

// The states that targets report.
const (
	TargetReady    TargetState = "ready"
	TargetCold     TargetState = "cold"
	TargetDraining TargetState = "draining"
)

// IndexStatus is a target's report on one index version that it serves.
type IndexStatus struct {
	Index   IndexID `json:"index"`
	Version Version `json:"version"`
	// ShardMap lists all shards of the version, ordered by key, including those that the target does not hold.
	ShardMap []Shard   `json:"shard_map"`
	Held     []ShardID `json:"held"`
}

// TargetStatus is a target's status report. It may be stale or incorrect.
type TargetStatus struct {
	Target      TargetID      `json:"target"`
	Incarnation Incarnation   `json:"incarnation"`
	State       TargetState   `json:"state"`
	Slots       int           `json:"slots"`
	InFlight    int           `json:"in_flight"`
	Load        float64       `json:"load"`
	Indexes     []IndexStatus `json:"indexes"`
}

// Hit is a document in a search result.
type Hit struct {
	Index  IndexID           `json:"index" msgpack:"index"`
	ID     string            `json:"id" msgpack:"id"`
	Score  float64           `json:"score" msgpack:"score"`
	Fields map[string]string `json:"fields,omitempty" msgpack:"fields"`
}

// Limits of the caller API.
const (
	MaxBodyBytes   = 64 << 10
	MaxJSONDepth   = 32
	MaxDeadline    = 10 * time.Second
	MaxResultLimit = 1000
)
