package callerapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// maxBearerBytes limits the length of tokens, and so the cost of hashing them.
const maxBearerBytes = 1024

// tokenIndex maps token hashes to the callers of one catalogue.
type tokenIndex struct {
	catalogue *model.Catalogue
	callers   map[[sha256.Size]byte]indexedCaller
}

type indexedCaller struct {
	hash   [sha256.Size]byte
	caller model.Caller
}

func newTokenIndex(catalogue *model.Catalogue) *tokenIndex {
	index := &tokenIndex{catalogue: catalogue, callers: map[[sha256.Size]byte]indexedCaller{}}
	for _, caller := range catalogue.Callers {
		for _, text := range caller.TokenSHA256 {
			hash, err := hex.DecodeString(text)
			if err != nil || len(hash) != sha256.Size {
				continue // catalogue validation rejects such entries
			}
			key := [sha256.Size]byte(hash)
			index.callers[key] = indexedCaller{hash: key, caller: caller}
		}
	}
	return index
}

// authenticator identifies the caller of a request by its token. It builds an index once per catalogue, so that the cost of
// a request doesn't grow with the number of callers. It is safe for concurrent use.
type authenticator struct{ index atomic.Pointer[tokenIndex] }

func (a *authenticator) indexOf(catalogue *model.Catalogue) *tokenIndex {
	index := a.index.Load()
	if index == nil || index.catalogue != catalogue {
		index = newTokenIndex(catalogue)
		a.index.Store(index)
	}
	return index
}

// authenticate returns the caller to whom the bearer token of the request belongs.
func (a *authenticator) authenticate(catalogue *model.Catalogue, r *http.Request) (model.Caller, error) {
	values := r.Header.Values("Authorization")
	if len(values) != 1 {
		return model.Caller{}, errNoToken()
	}
	token, ok := strings.CutPrefix(values[0], "Bearer ")
	if !ok || token == "" || len(token) > maxBearerBytes {
		return model.Caller{}, errNoToken()
	}
	sum := sha256.Sum256([]byte(token))
	// The timing of the lookup reveals at most whether a hash is known, not how much of a guessed token is correct.
	found, known := a.indexOf(catalogue).callers[sum]
	if !known || subtle.ConstantTimeCompare(found.hash[:], sum[:]) != 1 {
		return model.Caller{}, fault.New(fault.Unauthenticated, fault.NotRun,
			"ask the operators for a catalogue entry", "no catalogue entry has this token")
	}
	return found.caller, nil
}

func errNoToken() error {
	return fault.New(fault.Unauthenticated, fault.NotRun,
		"send the header Authorization: Bearer TOKEN once", "the request has no usable bearer token")
}
