package configstate

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Reports are included in every pull reply during an outage, so each is encoded in three bytes: the index of the data
// centre in the catalogue, flags with slot and reachability, and age. An eight-byte generation follows if it differs from
// that of the answering host.
const (
	reportAgeUnit    = 20 * time.Millisecond
	slotBits         = 2
	reachBits        = 2
	generationFlag   = 1 << (slotBits + reachBits)
	shortReportBytes = 3
	longReportBytes  = shortReportBytes + 8
)

// encodeReports encodes the reports known to a host that holds the given catalogue. Ages are rounded up.
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

// decodeReports decodes the reports in a pull reply. sent is when the pull was sent; the answering host must hold the
// same catalogue. Decoding stops at the first invalid report.
func decodeReports(encoded []byte, sent time.Duration, catalogue *model.Catalogue) []Report {
	var reports []Report
	for len(encoded) >= shortReportBytes {
		centre, flags, age := int(encoded[0]), encoded[1], time.Duration(encoded[2])
		r := Report{
			Slot:       flags >> reachBits & (1<<slotBits - 1),
			Reach:      Reachability(flags & (1<<reachBits - 1)),
			Generation: catalogue.Generation,
			At:         sent - age*reportAgeUnit,
		}
		size := shortReportBytes
		if flags&generationFlag != 0 {
			size = longReportBytes
		}
		if centre >= len(catalogue.DataCentres) || r.Reach == 0 || len(encoded) < size {
			return reports
		}
		if size == longReportBytes {
			r.Generation = model.Generation(binary.BigEndian.Uint64(encoded[shortReportBytes:]))
		}
		r.DataCentre = catalogue.DataCentres[centre].ID
		reports = append(reports, r)
		encoded = encoded[size:]
	}
	return reports
}
