package share

import (
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Kind is the type of a limit.
type Kind string

// The kinds of limits. Rate and Cost are tokens per second; InFlight and Cold are units that are given back.
const (
	Rate     Kind = "rate"
	Cost     Kind = "cost"
	InFlight Kind = "in_flight"
	Cold     Kind = "cold"
)

// isUnits tells whether the limit is a number of units rather than a rate.
func (k Kind) isUnits() bool { return k == InFlight || k == Cold }

// Key names one limit: its kind and the caller or target that it belongs to.
type Key struct {
	Kind Kind   `msgpack:"kind"`
	ID   string `msgpack:"id"`
}

// LoanRequest asks an owner for a part of its share. It replaces the borrower's earlier requests for the key.
type LoanRequest struct {
	Key Key `msgpack:"key"`
	// Nonce numbers the requests of one run of the borrower.
	Nonce uint64 `msgpack:"nonce"`
	// Amount is the rate per second or the number of units wanted.
	Amount float64 `msgpack:"amount"`
	// Term is the time, from the sending of the request, for which the borrower will use the loan.
	Term time.Duration `msgpack:"term"`
	// Applied is the oldest nonce whose loan the borrower may still use. The owner forgets older loans.
	Applied uint64 `msgpack:"applied"`
}

// LoanGrant answers a request. Amount 0 means that the owner has nothing to lend.
type LoanGrant struct {
	Key    Key     `msgpack:"key"`
	Nonce  uint64  `msgpack:"nonce"`
	Amount float64 `msgpack:"amount"`
	// Generation is the one of the owner's table.
	Generation uint64 `msgpack:"generation"`
}

// LoanReturn gives back every loan up to a nonce. The borrower accepts no grant of these nonces afterwards.
type LoanReturn struct {
	Key   Key    `msgpack:"key"`
	Nonce uint64 `msgpack:"nonce"`
}

// TableQuestion asks a host whether it holds a table and uses nothing from before it.
type TableQuestion struct {
	Generation uint64 `msgpack:"generation"`
}

// TableAnswer says so. A host that can't say so yet does not answer.
type TableAnswer struct {
	Generation uint64 `msgpack:"generation"`
	// Run is the run of the host that asked.
	Run model.Incarnation `msgpack:"run"`
}

// Message is a LoanRequest, LoanGrant, LoanReturn, TableQuestion or TableAnswer.
type Message interface{ isMessage() }

func (LoanRequest) isMessage()   {}
func (LoanGrant) isMessage()     {}
func (LoanReturn) isMessage()    {}
func (TableQuestion) isMessage() {}
func (TableAnswer) isMessage()   {}

// Send is a message for the caller to carry to another host.
type Send struct {
	To      model.HostID
	Message Message
}

// Sender is the host, and its run, that a message came from.
type Sender struct {
	Host        model.HostID
	Incarnation model.Incarnation
}
