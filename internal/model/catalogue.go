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

// Caller is a catalogue entry: who may send requests and how many.
type Caller struct {
	ID    CallerID `json:"id"`
	Owner string   `json:"owner"`
	Class Class    `json:"class"`
	// TokenSHA256 lists the SHA-256 hashes, in hexadecimal, of the tokens the caller may present. Two may be valid
	// at once, so that a token can be rotated.
	TokenSHA256 []string `json:"token_sha256"`
	// Rate is the number of requests per second over all hosts.
	Rate float64 `json:"rate"`
	// InFlight is the number of requests in progress over all hosts.
	InFlight int `json:"in_flight"`
	// Cost is the number of target attempts per second over all hosts, hedges and retries included.
	Cost     float64     `json:"cost"`
	Searches []SearchID  `json:"searches"`
	Services []ServiceID `json:"services"`
}

// Search is a named list of indexes that one query reads together.
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

// Service is a set of equal targets that execute operations.
type Service struct {
	ID ServiceID `json:"id"`
	// Repeatable tells whether an operation may run more than once (idempotent).
	Repeatable bool       `json:"repeatable"`
	Targets    []TargetID `json:"targets"`
}

// Target is a back-end server.
type Target struct {
	ID         TargetID     `json:"id"`
	Address    string       `json:"address"`
	DataCentre DataCentreID `json:"data_centre"`
	// Slots is the number of requests that the target runs at once when it is warm.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts from all hosts together.
	Connections int `json:"connections"`
	// ColdSlots is the number of requests that the target bears at once in cold start, from all hosts together.
	ColdSlots int `json:"cold_slots"`
	// ConnectTimeMS is the usual duration of a connect in milliseconds.
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

// TargetState is what a target says about itself.
type TargetState string

// The states that targets report.
const (
	TargetReady    TargetState = "ready"
	TargetCold     TargetState = "cold"
	TargetDraining TargetState = "draining"
)

// IndexStatus is what a target says about one index version that it holds.
type IndexStatus struct {
	Index   IndexID `json:"index"`
	Version Version `json:"version"`
	// ShardMap lists every shard of the version, held here or elsewhere, ordered by key.
	ShardMap []Shard   `json:"shard_map"`
	Held     []ShardID `json:"held"`
}

// TargetStatus is a target's report. It may lag or be wrong.
type TargetStatus struct {
	Target      TargetID      `json:"target"`
	Incarnation Incarnation   `json:"incarnation"`
	State       TargetState   `json:"state"`
	Slots       int           `json:"slots"`
	InFlight    int           `json:"in_flight"`
	Load        float64       `json:"load"`
	Indexes     []IndexStatus `json:"indexes"`
}

// Hit is one document of an answer.
type Hit struct {
	Index  IndexID           `json:"index" msgpack:"index"`
	ID     string            `json:"id" msgpack:"id"`
	Score  float64           `json:"score" msgpack:"score"`
	Fields map[string]string `json:"fields,omitempty" msgpack:"fields"`
}

// Bounds of the caller API.
const (
	MaxBodyBytes   = 64 << 10
	MaxJSONDepth   = 32
	MaxDeadline    = 10 * time.Second
	MaxResultLimit = 1000
)
