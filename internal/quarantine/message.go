package quarantine

import (
	"fmt"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Message is a notice for all hosts. One of its fields is set.
type Message struct {
	Report *Report `msgpack:"report"`
	Clear  *Clear  `msgpack:"clear"`
}

// Report names the requests that a host had in flight at a target when it was lost.
type Report struct {
	Host        model.HostID      `msgpack:"host"`
	Target      model.TargetID    `msgpack:"target"`
	Incarnation model.Incarnation `msgpack:"incarnation"` // of the run that was lost
	Epoch       uint64            `msgpack:"epoch"`
	Entries     []Entry           `msgpack:"entries"`
}

// Entry is one request of a Report.
type Entry struct {
	Fingerprint Fingerprint    `msgpack:"fingerprint"`
	Caller      model.CallerID `msgpack:"caller"`
	Alone       bool           `msgpack:"alone"`
}

// Clear tells that a suspect has run without a loss.
type Clear struct {
	Host        model.HostID `msgpack:"host"`
	Fingerprint Fingerprint  `msgpack:"fingerprint"`
	Epoch       uint64       `msgpack:"epoch"`
}

// Key identifies the subject of the message. A message of a higher epoch replaces one of a lower.
func (m Message) Key() (key string, epoch uint64) {
	if m.Report != nil {
		return fmt.Sprintf("loss/%s/%d/%s", m.Report.Target, m.Report.Incarnation, m.Report.Host), m.Report.Epoch
	}
	return fmt.Sprintf("clear/%016x/%s", uint64(m.Clear.Fingerprint), m.Clear.Host), m.Clear.Epoch
}

// Drain returns the messages for the other hosts since the last call.
func (s *State) Drain() []Message {
	messages := s.outbox
	s.outbox = nil
	return messages
}

// Step takes another host's message.
func (s *State) Step(now time.Duration, m Message) {
	switch {
	case m.Report != nil && len(m.Report.Entries) <= maxSuspectsPerLoss:
		s.learn(now, *m.Report)
	case m.Clear != nil:
		s.clear(m.Clear.Fingerprint)
	}
}
