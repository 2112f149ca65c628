// Package deployment describes the size of a deployment: its data centres, indexes, services and delays. The dev
// command, tests and benchmarks create their stand-ins and catalogue from it.
package deployment

import (
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

//go:embed cargavoz.json vembanad.json
var embedded embed.FS

// Deployment is the content of a deployment file.
type Deployment struct {
	Name string `json:"name"`
	// Hosts is the number of entry hosts.
	Hosts       int                    `json:"hosts"`
	DataCentres []model.DataCentreInfo `json:"data_centres"`
	// DelayBetweenMS is the one-way delay between two data centres in milliseconds.
	DelayBetweenMS float64 `json:"delay_between_ms"`
	// DelayToClientsMS is the one-way delay between a caller and a data centre in milliseconds.
	DelayToClientsMS float64        `json:"delay_to_clients_ms"`
	Indexes          []Index        `json:"indexes"`
	Searches         []model.Search `json:"searches"`
	Services         []Service      `json:"services"`
}

// Index describes the size of an index. Groups is also the number of its shards.
type Index struct {
	ID              model.IndexID `json:"id"`
	Groups          int           `json:"groups"`
	ServersPerGroup int           `json:"servers_per_group"`
	Server
}

// Service describes the size of a service.
type Service struct {
	ID         model.ServiceID `json:"id"`
	Servers    int             `json:"servers"`
	Repeatable bool            `json:"repeatable"`
	Server
}

// Server describes the capacity of one server of an index or service.
type Server struct {
	Slots       int     `json:"slots"`
	Connections int     `json:"connections"`
	ConnectMS   float64 `json:"connect_ms"`
}

// Load returns the embedded deployment with the given name, or reads and validates a deployment file.
func Load(nameOrFile string) (Deployment, error) {
	content, err := embedded.ReadFile(nameOrFile + ".json")
	if err != nil {
		content, err = os.ReadFile(nameOrFile)
	}
	if err != nil {
		return Deployment{}, fmt.Errorf("deployment %q is neither cargavoz, vembanad nor a readable file: %w", nameOrFile, err)
	}
	decoder := json.NewDecoder(strings.NewReader(string(content)))
	decoder.DisallowUnknownFields()
	var d Deployment
	if err := decoder.Decode(&d); err != nil {
		return Deployment{}, fmt.Errorf("deployment %q: %w", nameOrFile, err)
	}
	return d, d.Validate()
}

// Validate returns an error that lists all invalid fields.
func (d Deployment) Validate() error {
	var problems []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Errorf(format, args...))
		}
	}
	require(d.Hosts > 0, "hosts is %d: use at least 1", d.Hosts)
	require(len(d.DataCentres) > 0, "data_centres is empty: list at least 1")
	require(d.DelayBetweenMS >= 0, "delay_between_ms is %g: use at least 0", d.DelayBetweenMS)
	require(d.DelayToClientsMS >= 0, "delay_to_clients_ms is %g: use at least 0", d.DelayToClientsMS)
	known := map[model.IndexID]bool{}
	for _, index := range d.Indexes {
		known[index.ID] = true
		require(index.Groups > 0 && index.ServersPerGroup > 0, "index %s: use at least 1 group and 1 server", index.ID)
		require(index.Slots > 0 && index.Connections > 0, "index %s: use at least 1 slot and 1 connection", index.ID)
	}
	for _, search := range d.Searches {
		require(len(search.Indexes) > 0, "search %s: list at least 1 index", search.ID)
		for _, index := range search.Indexes {
			require(known[index], "search %s: index %s is not defined in indexes", search.ID, index)
		}
	}
	for _, service := range d.Services {
		require(service.Servers > 0, "service %s: use at least 1 server", service.ID)
		require(service.Slots > 0 && service.Connections > 0, "service %s: use at least 1 slot and 1 connection", service.ID)
	}
	return errors.Join(problems...)
}
