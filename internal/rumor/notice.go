// Package rumor spreads small notices to all hosts with a bounded number of frames. It is a pure state machine.
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

// Notice is one statement. Topic, Key and Epoch identify it; a higher epoch replaces a lower one.
type Notice struct {
	Topic   Topic        `msgpack:"topic" json:"topic"`
	Key     string       `msgpack:"key" json:"key"`
	Epoch   uint64       `msgpack:"epoch" json:"epoch"`
	Origin  model.HostID `msgpack:"origin" json:"origin"`
	Payload []byte       `msgpack:"payload" json:"payload"`
}
