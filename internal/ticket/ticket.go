// Package ticket implements the tickets of operations that run at most once, and the ledgers that enforce it. It
// performs no I/O.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// MaxTextBytes is the maximum length of a ticket's text form.
const MaxTextBytes = 1024

// macDomain separates the signatures of tickets from others made with the fleet key, such as those of snapshot
// tokens, which must not pass as tickets.
const macDomain = "knapweedrouter ticket 1\x00"

// The errors of Verify.
var (
	// ErrMalformed means that the text is not a ticket, so no operation was run with it.
	ErrMalformed = errors.New("ticket: not a ticket")
	// ErrNotAuthentic means that no configured key verifies the signature. A key that has been removed may have
	// signed the ticket, so an operation may have been run with it.
	ErrNotAuthentic = errors.New("ticket: not signed by a valid key")
)

// Origin is the incarnation of a host that issued tickets.
type Origin struct {
	Host        model.HostID      `msgpack:"host" json:"host"`
	Incarnation model.Incarnation `msgpack:"incarnation" json:"incarnation"`
}

// Ticket permits a single execution of one operation.
type Ticket struct {
	Origin Origin `msgpack:"origin"`
	// Address is the IP:port of the issuer's peer listener.
	Address string `msgpack:"address"`
	// Sequence numbers the tickets of the origin.
	Sequence uint64          `msgpack:"sequence"`
	Caller   model.CallerID  `msgpack:"caller"`
	Service  model.ServiceID `msgpack:"service"`
}

// Signer signs and verifies tickets.
type Signer struct{ keys [][]byte }

// NewSigner returns a signer. The first key signs; all keys verify, which allows key rotation.
func NewSigner(keys ...[]byte) (*Signer, error) {
	if len(keys) == 0 || len(keys[0]) == 0 {
		return nil, errors.New("ticket: no signing key: configure at least one fleet key file")
	}
	return &Signer{keys: keys}, nil
}

// Sign returns the signed text form of the ticket.
func (s *Signer) Sign(t Ticket) (string, error) {
	payload, err := msgpack.Marshal(t)
	if err != nil {
		return "", err
	}
	signed := append(mac(s.keys[0], payload), payload...)
	return base64.RawURLEncoding.EncodeToString(signed), nil
}

// Verify verifies the text and returns its ticket. It returns ErrMalformed or ErrNotAuthentic on failure.
func (s *Signer) Verify(text string) (Ticket, error) {
	if len(text) > MaxTextBytes {
		return Ticket{}, ErrMalformed
	}
	signed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(signed) <= sha256.Size {
		return Ticket{}, ErrMalformed
	}
	sum, payload := signed[:sha256.Size], signed[sha256.Size:]
	if !s.isAuthentic(sum, payload) {
		return Ticket{}, ErrNotAuthentic
	}
	var t Ticket
	if err := msgpack.Unmarshal(payload, &t); err != nil {
		return Ticket{}, ErrMalformed
	}
	return t, nil
}

func (s *Signer) isAuthentic(sum, payload []byte) bool {
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
