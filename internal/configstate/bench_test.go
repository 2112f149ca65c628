package configstate

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// fullCatalogue returns a catalogue of the expected size: 31,000 targets in 169 indexes.
func fullCatalogue() *model.Catalogue {
	c := model.Catalogue{Generation: 1, DataCentres: []model.DataCentreInfo{{ID: "a", Region: "r"}}}
	for i := range 169 {
		index := model.Index{ID: model.IndexID(fmt.Sprintf("index-%03d", i))}
		for g := range 61 {
			group := model.Group{ID: fmt.Sprintf("g%02d", g)}
			for r := range 3 {
				n := (i*61+g)*3 + r
				id := model.TargetID(fmt.Sprintf("%s-%s-%d", index.ID, group.ID, r))
				group.Targets = append(group.Targets, id)
				c.Targets = append(c.Targets, model.Target{
					ID: id, Address: fmt.Sprintf("10.%d.%d.%d:8080", n/62500, n/250%250, n%250+1), DataCentre: "a",
					Slots: 2, Connections: 60, ColdSlots: 1, ConnectTimeMS: 6,
				})
			}
			index.Groups = append(index.Groups, group)
		}
		c.Indexes = append(c.Indexes, index)
	}
	return SortedByID(c)
}

// BenchmarkFullCatalogue measures operations on a catalogue of the expected size.
func BenchmarkFullCatalogue(b *testing.B) {
	format, catalogue := CatalogueFormat(), fullCatalogue()
	first, err := format.First("first", catalogue)
	require.NoError(b, err)
	out := change.Change{ID: "c", Edits: []change.Edit{
		{Op: change.Put, Kind: change.HostOut, ID: "h", Value: []byte(`{"id":"h"}`)},
	}}
	b.Run("validate", func(b *testing.B) {
		for b.Loop() {
			require.Empty(b, catalogue.Validate())
		}
	})
	b.Run("split", func(b *testing.B) {
		total := 0
		for b.Loop() {
			segments, err := format.Split(catalogue)
			require.NoError(b, err)
			total = 0
			for _, segment := range segments {
				total += len(segment)
			}
		}
		b.ReportMetric(float64(total), "B")
		b.ReportMetric(float64(len(first.Segments)), "segments")
	})
	b.Run("open", func(b *testing.B) {
		for b.Loop() {
			_, err := format.Restore(first.Head, first.Segments)
			require.NoError(b, err)
		}
	})
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			_, err := format.Apply(catalogue, 2, out)
			require.NoError(b, err)
		}
	})
}
