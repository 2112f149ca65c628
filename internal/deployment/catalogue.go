package deployment

import (
	"fmt"
	"net"
	"strconv"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Catalogue returns the catalogue of the deployment without callers. Targets listen on the address with consecutive ports
// from firstPort. The servers of a group are distributed over the data centres.
func (d Deployment) Catalogue(address string, firstPort int) model.Catalogue {
	b := builder{deployment: d, address: address, port: firstPort}
	b.catalogue.DataCentres = d.DataCentres
	b.catalogue.Searches = d.Searches
	for _, index := range d.Indexes {
		b.addIndex(index)
	}
	for _, service := range d.Services {
		b.addService(service)
	}
	return b.catalogue
}

// builder assembles a catalogue. port is the port of the next target.
type builder struct {
	deployment Deployment
	address    string
	port       int
	catalogue  model.Catalogue
}

func (b *builder) addIndex(index Index) {
	result := model.Index{ID: index.ID}
	for g := range index.Groups {
		group := model.Group{ID: fmt.Sprintf("g%02d", g)}
		for s := range index.ServersPerGroup {
			id := model.TargetID(fmt.Sprintf("%s-%s-%d", index.ID, group.ID, s))
			b.addTarget(id, g+s, index.Server)
			group.Targets = append(group.Targets, id)
		}
		result.Groups = append(result.Groups, group)
	}
	b.catalogue.Indexes = append(b.catalogue.Indexes, result)
}

func (b *builder) addService(service Service) {
	result := model.Service{ID: service.ID, Repeatable: service.Repeatable}
	for s := range service.Servers {
		id := model.TargetID(fmt.Sprintf("%s-%02d", service.ID, s))
		b.addTarget(id, s, service.Server)
		result.Targets = append(result.Targets, id)
	}
	b.catalogue.Services = append(b.catalogue.Services, result)
}

// addTarget adds a target. Consecutive positions are in different data centres.
func (b *builder) addTarget(id model.TargetID, position int, server Server) {
	centres := b.deployment.DataCentres
	b.catalogue.Targets = append(b.catalogue.Targets, model.Target{
		ID:            id,
		Address:       net.JoinHostPort(b.address, strconv.Itoa(b.port)),
		DataCentre:    centres[position%len(centres)].ID,
		Slots:         server.Slots,
		Connections:   server.Connections,
		ColdSlots:     1,
		ConnectTimeMS: server.ConnectMS,
	})
	b.port++
}
