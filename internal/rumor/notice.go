// Package rumor broadcasts small notices to all hosts by gossip (rumor mongering) with a bounded number of frames. It
// does no I/O and reads no clock: the caller passes in time and received frames, and sends the frames that are
// returned.
package rumor

import "github.com/knapweedrouter/knapweedrouter/internal/model"

// Topic names the subject of a notice.
type Topic string

// The topics.
const (
	TopicGeneration Topic = "generation"
	TopicCold       Topic = "cold"
	TopicDraining   Topic = "draining"
	TopicQuarantine Topic = "quarantine"
	TopicLeave      Topic = "leave"
	TopicLedger     Topic = "ledger"
)

// Notice is a broadcast message, identified by Topic, Key and Epoch. A notice with a higher epoch replaces one with a
// lower epoch.
type Notice struct {
	Topic   Topic        `msgpack:"topic" json:"topic"`
	Key     string       `msgpack:"key" json:"key"`
	Epoch   uint64       `msgpack:"epoch" json:"epoch"`
	Origin  model.HostID `msgpack:"origin" json:"origin"`
	Payload []byte       `msgpack:"payload" json:"payload"`
}
