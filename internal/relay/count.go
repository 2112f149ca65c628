package relay

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

const (
	// countTTL is how long a host that no longer pulls from a relay is counted. The shares of the remaining hosts in a
	// budget grow only after it, because departed hosts may have spent theirs.
	countTTL = 15 * time.Second
	// moveGrace is how long a relay counts a host that has moved to another relay. By then the census of the other relay,
	// of which one may be lost, includes the host, so no relay ever sees a number that is too low.
	moveGrace = 2*censusInterval + time.Second
)

// fleetSize is a number of hosts and how many of them are large.
type fleetSize struct {
	Hosts int
	Large int
}

func (s fleetSize) plus(other fleetSize) fleetSize {
	return fleetSize{Hosts: s.Hosts + other.Hosts, Large: s.Large + other.Large}
}

func (s fleetSize) atLeast(other fleetSize) fleetSize {
	return fleetSize{Hosts: max(s.Hosts, other.Hosts), Large: max(s.Large, other.Large)}
}

// oneHost is the size of a fleet of a single host.
func oneHost(large bool) fleetSize {
	if large {
		return fleetSize{Hosts: 1, Large: 1}
	}
	return fleetSize{Hosts: 1}
}

// hostCounter counts the hosts of the fleet. Each host is counted once: a relay counts itself and the hosts without a slot
// whose latest pull it answered, and the relays add up each other's counts. The result may be too high for countTTL
// after hosts have left, and is not too low once every relay has sent a census. It reads no clock and is not safe for
// concurrent use.
type hostCounter struct {
	self  slotRecord
	pulls map[model.HostID]pullRecord
	// censuses holds the latest count of each relay.
	censuses map[model.HostID]censusRecord
	// reported is the size last reported by the relay that this host pulls from.
	reported censusRecord
}

// pullRecord is the latest pull of a host from this one.
type pullRecord struct {
	number  uint64
	large   bool
	expires time.Time
}

type censusRecord struct {
	size fleetSize
	at   time.Time
}

func newHostCounter(self slotRecord) hostCounter {
	return hostCounter{
		self:     self,
		pulls:    map[model.HostID]pullRecord{},
		censuses: map[model.HostID]censusRecord{},
	}
}

// recordPull records a pull by another host.
func (c *hostCounter) recordPull(host model.HostID, p pull, now time.Time) {
	c.pulls[host] = pullRecord{number: p.Number, large: p.Large, expires: now.Add(countTTL)}
}

// recordMove records that another relay answered the host's pull with the given number. A notice that arrives after a
// later pull is out of date.
func (c *hostCounter) recordMove(host model.HostID, number uint64, now time.Time) {
	record, ok := c.pulls[host]
	if !ok || record.number > number {
		return
	}
	if grace := now.Add(moveGrace); grace.Before(record.expires) {
		record.expires = grace
		c.pulls[host] = record
	}
}

// recordCensus stores the count of another relay.
func (c *hostCounter) recordCensus(host model.HostID, size fleetSize, now time.Time) {
	c.censuses[host] = censusRecord{size: size, at: now}
}

// recordReport stores the size reported by a relay. A lower one replaces a higher one only after countTTL.
func (c *hostCounter) recordReport(size fleetSize, now time.Time) {
	if now.Sub(c.reported.at) <= countTTL {
		size = size.atLeast(c.reported.size)
	}
	if size != c.reported.size || now.Sub(c.reported.at) > countTTL {
		c.reported = censusRecord{size: size, at: now}
	}
}

// served returns the number of hosts that this one counts: itself, and the hosts without a slot that pull from it.
func (c *hostCounter) served(relays map[model.HostID]slotRecord, now time.Time) fleetSize {
	size := oneHost(c.self.Large)
	for host, record := range c.pulls {
		if now.After(record.expires) {
			delete(c.pulls, host)
			continue
		}
		if _, isRelay := relays[host]; !isRelay {
			size = size.plus(oneHost(record.large))
		}
	}
	return size
}

// total estimates the size of the fleet. relays holds the hosts with a slot.
func (c *hostCounter) total(relays map[model.HostID]slotRecord, now time.Time) fleetSize {
	size := c.served(relays, now)
	_, complete := relays[c.self.Host]
	for host, relay := range relays {
		if host == c.self.Host {
			continue
		}
		census, known := c.censuses[host]
		if !known {
			complete = false
			census.size = oneHost(relay.Large)
		}
		size = size.plus(census.size)
	}
	for host, census := range c.censuses {
		if _, isRelay := relays[host]; isRelay {
			continue
		}
		if now.Sub(census.at) > countTTL {
			delete(c.censuses, host)
			continue
		}
		size = size.plus(census.size)
	}
	// A relay that has the counts of all others ignores what it was told: two relays could otherwise keep an old number
	// alive by reporting it to each other.
	if complete {
		return size
	}
	return size.atLeast(c.reported.size)
}
