package share

import "time"

const (
	demandSlotLength = 100 * time.Millisecond
	demandSlotCount  = 10
	// coldDemandSlots is the number of slots for which a host keeps an unused permit of a cold target. Permits are
	// few, and other hosts wait for them.
	coldDemandSlots = 2
	// smallGrantUnits is the size of a grant up to which a host keeps only the units that it uses, because there
	// may be fewer units than hosts.
	smallGrantUnits = 32
	// smallGrantDemandSlots is the number of slots for which a host keeps an unused unit of a small grant.
	smallGrantDemandSlots = 1
	// minDemandFraction is the smallest fraction of a grant that a host with any demand requests. A borrowed rate
	// starts without tokens, so a loan only as large as the request rate would delay a caller's first requests.
	minDemandFraction = 0.04
	// demandHeadroom is the factor applied to the measured demand, so that growing demand is not refused between
	// two loan requests.
	demandHeadroom = 1.25
)

// demand measures the recent demand at a host, whether it was granted or refused.
type demand struct {
	slots [demandSlotCount]float64
	// slot is the number of the newest slot, counted from process start.
	slot int64
}

func (d *demand) advance(now time.Duration) {
	slot := int64(now / demandSlotLength)
	if slot-d.slot >= demandSlotCount {
		d.slots = [demandSlotCount]float64{}
		d.slot = slot
	}
	for d.slot < slot {
		d.slot++
		d.slots[d.slot%demandSlotCount] = 0
	}
}

// add counts requested tokens.
func (d *demand) add(now time.Duration, amount float64) {
	d.advance(now)
	d.slots[d.slot%demandSlotCount] += amount
}

// recordPeak records the number of units needed at one moment.
func (d *demand) recordPeak(now time.Duration, units float64) {
	d.advance(now)
	at := d.slot % demandSlotCount
	d.slots[at] = max(d.slots[at], units)
}

// rate returns the wanted rate: the higher of the averages over all slots and over the newest two, plus headroom.
func (d *demand) rate(now time.Duration) float64 {
	d.advance(now)
	var all, newest float64
	for i, amount := range d.slots {
		all += amount
		if age := (d.slot - int64(i)) % demandSlotCount; age == 0 || age == 1 {
			newest += amount
		}
	}
	average := all / (demandSlotCount * demandSlotLength).Seconds()
	recent := newest / (demandSlotLength + now%demandSlotLength).Seconds()
	if now < demandSlotLength {
		recent = newest / demandSlotLength.Seconds()
	}
	return max(average, recent) * demandHeadroom
}

// peakUnits returns the highest number of units needed in any of the given number of newest slots.
func (d *demand) peakUnits(now time.Duration, slotCount int64) float64 {
	d.advance(now)
	var highest float64
	for slot := max(0, d.slot-slotCount+1); slot <= d.slot; slot++ {
		highest = max(highest, d.slots[slot%demandSlotCount])
	}
	return highest
}
