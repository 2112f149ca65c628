package configstate

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// CatalogueFormat returns the format of the document under the key head.
func CatalogueFormat() Format[*model.Catalogue, change.Change] {
	return Format[*model.Catalogue, change.Change]{Apply: applyChange, Split: splitCatalogue, Join: joinCatalogue}
}

const maxBuckets = 1 << 12

// splitCatalogue distributes the entries over buckets by the hash of their ids, so that a change affects few
// segments.
func splitCatalogue(c *model.Catalogue) ([][]byte, error) {
	for buckets := uint64(1); buckets <= maxBuckets; buckets *= 2 {
		segments, fits, err := catalogueBuckets(c, buckets)
		if err != nil || fits {
			return segments, err
		}
	}
	return nil, fmt.Errorf("a catalogue entry exceeds the segment limit of %d bytes; split the entry", maxSegmentBytes)
}

func catalogueBuckets(c *model.Catalogue, buckets uint64) ([][]byte, bool, error) {
	parts := make([]model.Catalogue, buckets)
	distribute(c.Callers, callerID, buckets, func(b uint64, x model.Caller) { parts[b].Callers = append(parts[b].Callers, x) })
	distribute(c.Searches, searchID, buckets, func(b uint64, x model.Search) { parts[b].Searches = append(parts[b].Searches, x) })
	distribute(c.Indexes, indexID, buckets, func(b uint64, x model.Index) { parts[b].Indexes = append(parts[b].Indexes, x) })
	distribute(c.Services, serviceID, buckets, func(b uint64, x model.Service) { parts[b].Services = append(parts[b].Services, x) })
	distribute(c.Targets, targetID, buckets, func(b uint64, x model.Target) { parts[b].Targets = append(parts[b].Targets, x) })
	parts[0].HostsOut = c.HostsOut
	parts[0].DataCentresOut = c.DataCentresOut
	parts[0].DataCentres = c.DataCentres
	return encodeSegments(parts)
}

func distribute[E any, ID ~string](list []E, id func(E) ID, buckets uint64, add func(uint64, E)) {
	for _, entry := range list {
		add(xxhash.Sum64String(string(id(entry)))%buckets, entry)
	}
}

func encodeSegments[P any](parts []P) ([][]byte, bool, error) {
	segments := make([][]byte, len(parts))
	for i, part := range parts {
		content, err := json.Marshal(part)
		if err != nil {
			return nil, false, err
		}
		if len(content) > maxSegmentBytes {
			return nil, false, nil
		}
		segments[i] = content
	}
	return segments, true, nil
}

func joinCatalogue(generation model.Generation, segments [][]byte) (*model.Catalogue, error) {
	var whole model.Catalogue
	for _, content := range segments {
		var part model.Catalogue
		if err := json.Unmarshal(content, &part); err != nil {
			return nil, fmt.Errorf("decode catalogue segment: %w", err)
		}
		whole.Callers = append(whole.Callers, part.Callers...)
		whole.Searches = append(whole.Searches, part.Searches...)
		whole.Indexes = append(whole.Indexes, part.Indexes...)
		whole.Services = append(whole.Services, part.Services...)
		whole.Targets = append(whole.Targets, part.Targets...)
		whole.HostsOut = append(whole.HostsOut, part.HostsOut...)
		whole.DataCentresOut = append(whole.DataCentresOut, part.DataCentresOut...)
		whole.DataCentres = append(whole.DataCentres, part.DataCentres...)
	}
	whole.Generation = generation
	return SortedByID(whole), nil
}

// FleetHost is a host that owns shares.
type FleetHost struct {
	ID         model.HostID       `json:"id"`
	Address    string             `json:"address"`
	DataCentre model.DataCentreID `json:"data_centre"`
	Region     model.RegionID     `json:"region"`
}

// Fleet is the table of the hosts that own shares, sorted by id.
type Fleet struct {
	Generation model.Generation
	Hosts      []FleetHost
}

// FleetChange adds, replaces and removes hosts.
type FleetChange struct {
	Put    []FleetHost    `json:"put,omitempty"`
	Remove []model.HostID `json:"remove,omitempty"`
}

// FleetFormat returns the format of the document under the key fleet.
func FleetFormat() Format[Fleet, FleetChange] {
	return Format[Fleet, FleetChange]{Apply: applyFleet, Split: splitFleet, Join: joinFleet}
}

func fleetHostID(h FleetHost) model.HostID { return h.ID }

func applyFleet(fleet Fleet, generation model.Generation, change FleetChange) (Fleet, error) {
	hosts := slices.Clone(fleet.Hosts)
	for _, id := range change.Remove {
		hosts, _ = remove(hosts, id, fleetHostID)
	}
	for _, host := range change.Put {
		hosts = upsert(hosts, host, fleetHostID)
	}
	return Fleet{Generation: generation, Hosts: hosts}, nil
}

func splitFleet(fleet Fleet) ([][]byte, error) {
	for buckets := uint64(1); buckets <= maxBuckets; buckets *= 2 {
		parts := make([][]FleetHost, buckets)
		distribute(fleet.Hosts, fleetHostID, buckets, func(b uint64, h FleetHost) { parts[b] = append(parts[b], h) })
		segments, fits, err := encodeSegments(parts)
		if err != nil || fits {
			return segments, err
		}
	}
	return nil, fmt.Errorf("a fleet table entry exceeds the segment limit of %d bytes", maxSegmentBytes)
}

func joinFleet(generation model.Generation, segments [][]byte) (Fleet, error) {
	var hosts []FleetHost
	for _, content := range segments {
		var part []FleetHost
		if err := json.Unmarshal(content, &part); err != nil {
			return Fleet{}, fmt.Errorf("decode fleet segment: %w", err)
		}
		hosts = append(hosts, part...)
	}
	return Fleet{Generation: generation, Hosts: sortByID(hosts, fleetHostID)}, nil
}
