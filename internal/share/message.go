package share

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Kind is the type of a limit.
type Kind string

// The kinds of limits. Rate and Cost are tokens per second; InFlight and Cold are units that are released after
// use.
const (
	Rate     Kind = "rate"
	Cost     Kind = "cost"
	InFlight Kind = "in_flight"
	Cold     Kind = "cold"
)

// isUnits reports whether the limit is a number of units rather than a rate.
func (k Kind) isUnits() bool { return k == InFlight || k == Cold }

// Key identifies a limit by its kind and the caller or target to which it applies.
type Key struct {
	Kind Kind   `msgpack:"kind"`
	ID   string `msgpack:"id"`
}

// LoanRequest asks an owner to lend a part of its share. It replaces the borrower's earlier requests for the key.
type LoanRequest struct {
	Key Key `msgpack:"key"`
	// Nonce numbers the requests of one incarnation of the borrower.
	Nonce uint64 `msgpack:"nonce"`
	// Amount is the wanted rate per second or number of units.
	Amount float64 `msgpack:"amount"`
	// Term is the time for which the borrower will use the loan, measured from the time it sent the request.
	Term time.Duration `msgpack:"term"`
	// Applied is the nonce of the oldest loan that the borrower may still use. The owner drops older loans.
	Applied uint64 `msgpack:"applied"`
}

// LoanGrant answers a LoanRequest. An Amount of 0 means that the owner has nothing to lend.
type LoanGrant struct {
	Key    Key     `msgpack:"key"`
	Nonce  uint64  `msgpack:"nonce"`
	Amount float64 `msgpack:"amount"`
	// Generation is the generation of the owner's newest table.
	Generation uint64 `msgpack:"generation"`
}

// LoanReturn returns every loan up to a nonce. The borrower accepts no grants for these nonces afterwards.
type LoanReturn struct {
	Key   Key    `msgpack:"key"`
	Nonce uint64 `msgpack:"nonce"`
}

// TableQuestion asks whether a host has the table of this generation and uses nothing assigned by an older table.
type TableQuestion struct {
	Generation uint64 `msgpack:"generation"`
}

// TableAnswer confirms a TableQuestion. A host that can't confirm it yet does not answer.
type TableAnswer struct {
	Generation uint64 `msgpack:"generation"`
	// Incarnation is the incarnation of the host that asked.
	Incarnation model.Incarnation `msgpack:"run"`
}

// Message is a LoanRequest, LoanGrant, LoanReturn, TableQuestion or TableAnswer.
type Message interface{ isMessage() }

func (LoanRequest) isMessage()   {}
func (LoanGrant) isMessage()     {}
func (LoanReturn) isMessage()    {}
func (TableQuestion) isMessage() {}
func (TableAnswer) isMessage()   {}

// OutgoingMessage is a message that the caller of this package has to deliver to another host.
type OutgoingMessage struct {
	To      model.HostID
	Message Message
}

// Sender is the host that sent a message, and its incarnation.
type Sender struct {
	Host        model.HostID
	Incarnation model.Incarnation
}
