package quarantine

import (
	"fmt"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Message is a message to all hosts. Exactly one field is set.
type Message struct {
	Report *Report `msgpack:"report"`
	Clear  *Clear  `msgpack:"clear"`
}

// Report lists the requests that a host had in flight at a target when the target was lost.
type Report struct {
	Host        model.HostID      `msgpack:"host"`
	Target      model.TargetID    `msgpack:"target"`
	Incarnation model.Incarnation `msgpack:"incarnation"` // the incarnation that was lost
	Epoch       uint64            `msgpack:"epoch"`
	Entries     []Entry           `msgpack:"entries"`
}

// Entry is one request in a Report.
type Entry struct {
	Fingerprint Fingerprint    `msgpack:"fingerprint"`
	Caller      model.CallerID `msgpack:"caller"`
	Alone       bool           `msgpack:"alone"`
}

// Clear announces that a suspect has completed an isolated run without losing a target.
type Clear struct {
	Host        model.HostID `msgpack:"host"`
	Fingerprint Fingerprint  `msgpack:"fingerprint"`
	Epoch       uint64       `msgpack:"epoch"`
}

// Key returns the key and the epoch of the message. A message replaces those with the same key and a lower epoch.
func (m Message) Key() (key string, epoch uint64) {
	if m.Report != nil {
		return fmt.Sprintf("loss/%s/%d/%s", m.Report.Target, m.Report.Incarnation, m.Report.Host), m.Report.Epoch
	}
	return fmt.Sprintf("clear/%016x/%s", uint64(m.Clear.Fingerprint), m.Clear.Host), m.Clear.Epoch
}

// TakeMessages returns and removes the queued messages for the other hosts.
func (s *State) TakeMessages() []Message {
	messages := s.outbox
	s.outbox = nil
	return messages
}

// Step handles a message from another host.
func (s *State) Step(now time.Duration, m Message) {
	switch {
	case m.Report != nil && len(m.Report.Entries) <= maxSuspectsPerLoss:
		s.addReport(now, *m.Report)
	case m.Clear != nil:
		s.dropEvidence(m.Clear.Fingerprint)
	}
}
