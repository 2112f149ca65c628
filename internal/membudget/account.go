// Package membudget bounds the memory that a process holds for others: bytes are charged before they are taken.
package membudget

import (
	"sync/atomic"
	"time"
)

// shortageTries and shortagePause bound the wait for memory that is about to be given back.
const (
	shortageTries = 20
	shortagePause = 5 * time.Millisecond
)

// Account bounds the bytes of one kind, such as requests or replies, that are held in memory at a time. An account of a request belongs
// to the account of its process, and every byte is charged to both. It is safe for concurrent use. A nil Account has no bound.
type Account struct {
	parent *Account
	limit  int64
	// shortage is called when the limit would be exceeded; it may be nil.
	shortage func() bool
	used     atomic.Int64
	// holders counts the users of an account of a request: the request and its attempts.
	holders atomic.Int32
}

// NewAccount returns the account of a process, with a limit in bytes.
func NewAccount(limit int64) *Account { return &Account{limit: limit} }

// OnShortage sets a function that is called each time the limit of a would be exceeded. It returns whether memory is about to be given
// back; the charge is then tried again. It must be set before the first use.
func (a *Account) OnShortage(shortage func() bool) { a.shortage = shortage }

// Open returns an account with a limit of its own, in bytes, which belongs to a. The caller must Release it.
func (a *Account) Open(limit int64) *Account {
	child := &Account{parent: a, limit: limit}
	child.holders.Store(1)
	return child
}

// Retain adds a user of the account, who must Release it.
func (a *Account) Retain() {
	if a != nil {
		a.holders.Add(1)
	}
}

// Release ends the use of the account. Its bytes are given back after the last one.
func (a *Account) Release() {
	if a == nil || a.holders.Add(-1) > 0 {
		return
	}
	a.parent.Give(a.used.Swap(0))
}

// Take charges bytes to the account and the one it belongs to. It charges nothing and returns false if a limit would be
// exceeded.
func (a *Account) Take(bytes int64) bool {
	if a == nil || bytes == 0 {
		return true
	}
	if !a.takeOwn(bytes) {
		return false
	}
	if !a.parent.Take(bytes) {
		a.used.Add(-bytes)
		return false
	}
	return true
}

// Give gives back bytes that were taken.
func (a *Account) Give(bytes int64) {
	for ; a != nil; a = a.parent {
		a.used.Add(-bytes)
	}
}

// takeOwn charges bytes to the account alone.
func (a *Account) takeOwn(bytes int64) bool {
	if a.shortage == nil {
		return a.tryOwn(bytes)
	}
	return AwaitRoom(func() bool { return a.tryOwn(bytes) }, a.shortage)
}

func (a *Account) tryOwn(bytes int64) bool {
	if a.used.Add(bytes) <= a.limit {
		return true
	}
	a.used.Add(-bytes)
	return false
}

// AwaitRoom repeats a charge until it finds room, as long as shortage reports that memory is about to be given back. It gives up after a
// tenth of a second.
func AwaitRoom(take, shortage func() bool) bool {
	for range shortageTries {
		if take() {
			return true
		}
		if !shortage() {
			return false
		}
		time.Sleep(shortagePause)
	}
	return false
}

// Limit returns the limit in bytes.
func (a *Account) Limit() int64 { return a.limit }

// Used returns the bytes charged at present.
func (a *Account) Used() int64 { return a.used.Load() }
