// Package relay lets a few hosts of each data centre follow the store on behalf of the others, so that the calls to the
// store do not grow with the fleet.
//
// A relay holds one of a few slots of its data centre in the store, under a lease. It follows the store and answers the
// pulls of other hosts from its own copy, by the revisions of the store: a host may move between relays, and between a
// relay and the store, without going back. A host that no relay answers follows the store itself.
package relay

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// The kinds of frames.
const (
	kindPull   peer.Kind = "relay_pull"
	kindCensus peer.Kind = "relay_census"
)

// pull asks a relay for the changes after a revision.
type pull struct {
	// After is the revision that the host has; 0 asks for all entries.
	After store.Revision
	// Wait is the time for which the relay holds the pull while there is no change.
	Wait time.Duration
}

// pullStatus tells how far a reply can be used.
type pullStatus uint8

const (
	// pullChanges brings the changes after the revision.
	pullChanges pullStatus = iota + 1
	// pullEntries brings all entries, because they were asked for.
	pullEntries
	// pullHistoryLost means that the relay does not know all changes after the revision.
	pullHistoryLost
	// pullAway means that the relay cannot reach the store.
	pullAway
)

// pullReply is a relay's answer.
type pullReply struct {
	Status   pullStatus
	Entries  []store.Entry
	Changes  []store.Change
	Revision store.Revision
	// Hosts is the number of hosts that the relays know of.
	Hosts int
}

// census tells the other relays how many hosts pull from one, and how far it has followed the store.
type census struct {
	Key      string
	Hosts    int
	Revision store.Revision
}

// record is the value of a slot.
type record struct {
	Host       model.HostID       `json:"host"`
	Address    string             `json:"address"`
	DataCentre model.DataCentreID `json:"data_centre"`
	// Large hosts gather the answers of the others' queries.
	Large bool `json:"large"`
	// Leaving hosts stop as planned. They keep their slot for their return, and are asked for nothing meanwhile.
	Leaving bool `json:"leaving,omitempty"`
}

// slotPrefix begins the keys of the slots: slotPrefix + data centre + "/" + number.
const slotPrefix = "relays/"

func slotKey(dataCentre model.DataCentreID, slot int) string {
	return slotPrefix + string(dataCentre) + "/" + strconv.Itoa(slot)
}

// decodeSlot returns the record of an entry, if it is a slot.
func decodeSlot(entry store.Entry) (record, bool) {
	if !strings.HasPrefix(entry.Key, slotPrefix) {
		return record{}, false
	}
	var r record
	err := json.Unmarshal(entry.Value, &r)
	return r, err == nil && r.Host != "" && r.Address != ""
}
