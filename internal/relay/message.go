// Package relay lets a few hosts of each data centre follow the store on behalf of the others, so that the number of
// store calls does not grow with the fleet.
//
// A relay holds one of a few slots per data centre, stored under a lease. It follows the store and serves pulls from
// its own copy. Pulls are positioned by store revision, so a host can switch between relays, or between a relay and the
// store, without going backwards. A host that no relay answers follows the store directly.
package relay

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// Frame kinds.
const (
	kindPull   peer.Kind = "relay_pull"
	kindCensus peer.Kind = "relay_census"
	kindMoved  peer.Kind = "relay_moved"
	kindNews   peer.Kind = "relay_news"
)

// pull requests the changes after a revision from a relay.
type pull struct {
	// After is the latest revision the host has; 0 requests all entries.
	After store.Revision
	// Wait is how long the relay may hold the pull open while there are no changes.
	Wait time.Duration
	// Number increases with each pull of the host, whichever relay it is sent to.
	Number uint64
	// Large is set if the sending host is large.
	Large bool
	// News hands over evidence and asks for what the relay has after a position.
	News newsRequest
	// Paged means that the host reads a listing page by page. Page is the last key of the previous page. Hosts of earlier versions
	// send neither and get the whole listing.
	Paged bool
	Page  string
	// ContactAge is the age of the sender's contact with the store; 0 from hosts of earlier versions.
	ContactAge time.Duration
}

// moved tells a relay that another one has answered the sender's pull with this number, and counts the sender.
type moved struct{ Number uint64 }

// pullStatus describes the content of a pull reply.
type pullStatus uint8

const (
	// pullChanges: the reply holds the changes after the requested revision.
	pullChanges pullStatus = iota + 1
	// pullEntries: the reply holds all entries, as requested.
	pullEntries
	// pullHistoryLost: the relay's history does not reach back to the requested revision.
	pullHistoryLost
	// pullUnavailable: the relay cannot reach the store, or its contact with it is too old.
	pullUnavailable
)

// pullReply is a relay's reply to a pull.
type pullReply struct {
	Status   pullStatus
	Entries  []store.Entry
	Changes  []store.Change
	Revision store.Revision
	// Hosts and Large are the relay's estimate of the number of hosts and of large hosts.
	Hosts int
	Large int
	// News is the relay's evidence that the host may lack.
	News evidence.Batch
	// More means that further entries follow the last one, in the order of the keys, or further changes.
	More bool
	// NoRelay means that the sender of the reply holds no slot. It says nothing of the store then.
	NoRelay bool
	// ContactAge is the age of the relay's contact with the store, and Held how long the relay held the pull. Both are 0 from relays
	// of earlier versions.
	ContactAge, Held time.Duration

	// source is the contact of the relay, and contact the one that the reply gives to the puller: 0 for none. Neither is sent.
	source, contact time.Duration
	// release gives back the room of the reply; nil if it takes none. It is not sent.
	release func()
}

// sourceContact returns the contact of the relay by the clock of a puller, whose call ran from started to ended.
func (r *pullReply) sourceContact(started, ended time.Duration) time.Duration {
	if r.ContactAge == 0 && r.Held == 0 {
		return ended
	}
	return started + r.Held - r.ContactAge
}

// contactOf returns the contact that the reply gives to a puller. A part of the changes gives none.
func (r *pullReply) contactOf(started, ended time.Duration) time.Duration {
	if r.Status == pullChanges && r.More {
		return 0
	}
	return r.sourceContact(started, ended)
}

// census tells the other relays how many hosts the sender counts and which revision it has reached.
type census struct {
	// Key is the slot of the sender, by which hosts of earlier versions keep counts.
	Key      string
	Hosts    int
	Large    int
	Revision store.Revision
	// Digest identifies the sender's evidence.
	Digest uint64
}

// slotRecord is the stored value of a slot.
type slotRecord struct {
	Host       model.HostID       `json:"host"`
	Address    string             `json:"address"`
	DataCentre model.DataCentreID `json:"data_centre"`
	// Large is set for hosts that act as aggregators for other hosts.
	Large bool `json:"large"`
	// Leaving is set during a planned stop. The host keeps the slot for its restart, but other hosts do not use
	// it meanwhile.
	Leaving bool `json:"leaving,omitempty"`
}

// slotPrefix is the prefix of slot keys, which have the form slotPrefix + data centre + "/" + number.
const slotPrefix = "relays/"

func slotKey(dataCentre model.DataCentreID, slot int) string {
	return slotPrefix + string(dataCentre) + "/" + strconv.Itoa(slot)
}

// decodeSlot decodes an entry and reports whether it is a valid slot.
func decodeSlot(entry store.Entry) (slotRecord, bool) {
	if !strings.HasPrefix(entry.Key, slotPrefix) {
		return slotRecord{}, false
	}
	var r slotRecord
	err := json.Unmarshal(entry.Value, &r)
	return r, err == nil && r.Host != "" && r.Address != ""
}
