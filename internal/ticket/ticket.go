// Package ticket holds the tickets of operations that run at most once, and the ledger that enforces it. It is pure.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// MaxTextBytes is the largest length of a ticket's text.
const MaxTextBytes = 1024

// macDomain keeps other texts that the fleet key signs, such as snapshot tokens, from passing as tickets.
const macDomain = "knapweedrouter ticket 1\x00"

// The errors of Open.
var (
	// ErrMalformed means that the text is not a ticket, so no operation ran under it.
	ErrMalformed = errors.New("ticket: not a ticket")
	// ErrNotAuthentic means that no valid key signed the ticket. A removed key may have signed it, so an operation may
	// have run under it.
	ErrNotAuthentic = errors.New("ticket: not signed by a valid key")
)

// Origin names the run of a host that issued tickets.
type Origin struct {
	Host        model.HostID      `msgpack:"host" json:"host"`
	Incarnation model.Incarnation `msgpack:"incarnation" json:"incarnation"`
}

// Ticket allows one execution of one operation.
type Ticket struct {
	Origin Origin `msgpack:"origin"`
	// Address is the IP:port of the issuer's peer listener.
	Address string `msgpack:"address"`
	// Sequence numbers the tickets of the origin.
	Sequence uint64          `msgpack:"sequence"`
	Caller   model.CallerID  `msgpack:"caller"`
	Service  model.ServiceID `msgpack:"service"`
}

// Sealer signs and checks tickets.
type Sealer struct{ keys [][]byte }

// NewSealer returns a sealer. The first key signs; all of them verify, so that a key can be replaced.
func NewSealer(keys ...[]byte) (*Sealer, error) {
	if len(keys) == 0 || len(keys[0]) == 0 {
		return nil, errors.New("ticket: no key: name at least one fleet key file")
	}
	return &Sealer{keys: keys}, nil
}

// Seal returns the signed text of the ticket.
func (s *Sealer) Seal(t Ticket) (string, error) {
	payload, err := msgpack.Marshal(t)
	if err != nil {
		return "", err
	}
	sealed := append(mac(s.keys[0], payload), payload...)
	return base64.RawURLEncoding.EncodeToString(sealed), nil
}

// Open checks the text and returns its ticket. The errors are ErrMalformed and ErrNotAuthentic.
func (s *Sealer) Open(text string) (Ticket, error) {
	if len(text) > MaxTextBytes {
		return Ticket{}, ErrMalformed
	}
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(sealed) <= sha256.Size {
		return Ticket{}, ErrMalformed
	}
	sum, payload := sealed[:sha256.Size], sealed[sha256.Size:]
	if !s.verifies(sum, payload) {
		return Ticket{}, ErrNotAuthentic
	}
	var t Ticket
	if err := msgpack.Unmarshal(payload, &t); err != nil {
		return Ticket{}, ErrMalformed
	}
	return t, nil
}

func (s *Sealer) verifies(sum, payload []byte) bool {
	for _, key := range s.keys {
		if len(key) > 0 && hmac.Equal(sum, mac(key, payload)) {
			return true
		}
	}
	return false
}

func mac(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(macDomain))
	h.Write(payload)
	return h.Sum(nil)
}
