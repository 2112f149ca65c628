package share

import "time"

const (
	demandSlot  = 100 * time.Millisecond
	demandSlots = 10
	// permitSlots is the number of slots for which a host keeps a permit of a cold target that it does not use. Permits
	// are few, and other hosts wait for them.
	permitSlots = 2
	// scarceUnits is the grant of units up to which a host keeps no more than it uses, because there may be fewer units than
	// hosts.
	scarceUnits = 32
	// scarceSlots is the number of slots for which a host keeps one of few units that it does not use.
	scarceSlots = 1
	// leastPart is the least part of a grant that a host with any demand asks for. A borrowed rate starts without
	// tokens, so the first requests of a caller would wait long for a loan that is only as large as their rate.
	leastPart = 0.04
	// headroom is asked for on top of the demand, so that growing demand is not refused between two requests.
	headroom = 1.25
)

// demand measures what a host was asked for lately, granted or not.
type demand struct {
	slots [demandSlots]float64
	// slot is the number of the newest slot since the start of the process.
	slot int64
}

func (d *demand) advance(now time.Duration) {
	slot := int64(now / demandSlot)
	if slot-d.slot >= demandSlots {
		d.slots = [demandSlots]float64{}
		d.slot = slot
	}
	for d.slot < slot {
		d.slot++
		d.slots[d.slot%demandSlots] = 0
	}
}

// add counts tokens that were asked for.
func (d *demand) add(now time.Duration, amount float64) {
	d.advance(now)
	d.slots[d.slot%demandSlots] += amount
}

// peak records units that were needed at one moment.
func (d *demand) peak(now time.Duration, units float64) {
	d.advance(now)
	at := d.slot % demandSlots
	d.slots[at] = max(d.slots[at], units)
}

// perSecond returns the wanted rate: the busiest of the newest two and of all slots.
func (d *demand) perSecond(now time.Duration) float64 {
	d.advance(now)
	var all, newest float64
	for i, amount := range d.slots {
		all += amount
		if age := (d.slot - int64(i)) % demandSlots; age == 0 || age == 1 {
			newest += amount
		}
	}
	average := all / (demandSlots * demandSlot).Seconds()
	recent := newest / (demandSlot + now%demandSlot).Seconds()
	if now < demandSlot {
		recent = newest / demandSlot.Seconds()
	}
	return max(average, recent) * headroom
}

// units returns the highest number of units needed in any of the newest slots.
func (d *demand) units(now time.Duration, newest int64) float64 {
	d.advance(now)
	var highest float64
	for slot := max(0, d.slot-newest+1); slot <= d.slot; slot++ {
		highest = max(highest, d.slots[slot%demandSlots])
	}
	return highest
}
