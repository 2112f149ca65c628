package configstate

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Reports are sent with every pull during an outage, so each takes three bytes: the index of its data centre in the
// catalogue, slot and reach, and age. The generation follows if it is not the one of the answering host.
const (
	reportAgeUnit  = 20 * time.Millisecond
	slotBits       = 2
	reachBits      = 2
	generationFlag = 1 << (slotBits + reachBits)
	shortReport    = 3
	longReport     = shortReport + 8
)

// encodeReports returns the reports of a host that holds the catalogue. Ages are rounded up.
func encodeReports(reports []Report, now time.Duration, catalogue *model.Catalogue) []byte {
	if catalogue == nil {
		return nil
	}
	var encoded []byte
	for _, r := range reports {
		centre := slices.IndexFunc(catalogue.DataCentres, func(c model.DataCentreInfo) bool { return c.ID == r.DataCentre })
		age := (now - r.At + reportAgeUnit - 1) / reportAgeUnit
		if centre < 0 || centre > 255 || age < 0 || age > 255 {
			continue
		}
		flags := r.Slot<<reachBits | byte(r.Reach)
		if r.Generation == catalogue.Generation {
			encoded = append(encoded, byte(centre), flags, byte(age))
			continue
		}
		encoded = append(encoded, byte(centre), flags|generationFlag, byte(age))
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(r.Generation))
	}
	return encoded
}

// decodeReports reads the reports of a reply to a pull that was sent at the time sent, by a host that holds the same
// catalogue. It stops at the first byte that makes no sense.
func decodeReports(encoded []byte, sent time.Duration, catalogue *model.Catalogue) []Report {
	var reports []Report
	for len(encoded) >= shortReport {
		centre, flags, age := int(encoded[0]), encoded[1], time.Duration(encoded[2])
		r := Report{
			Slot:       flags >> reachBits & (1<<slotBits - 1),
			Reach:      Reach(flags & (1<<reachBits - 1)),
			Generation: catalogue.Generation,
			At:         sent - age*reportAgeUnit,
		}
		size := shortReport
		if flags&generationFlag != 0 {
			size = longReport
		}
		if centre >= len(catalogue.DataCentres) || r.Reach == 0 || len(encoded) < size {
			return reports
		}
		if size == longReport {
			r.Generation = model.Generation(binary.BigEndian.Uint64(encoded[shortReport:]))
		}
		r.DataCentre = catalogue.DataCentres[centre].ID
		reports = append(reports, r)
		encoded = encoded[size:]
	}
	return reports
}
