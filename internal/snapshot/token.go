package snapshot

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
)

const (
	macBytes = 16
	// maxTokenBytes bounds the work that a forged token causes. 1,000 indexes of a search fit.
	maxTokenBytes = 32 << 10
	tokenPurpose  = "snapshot token"
)

// Token names a snapshot in a form that callers hand back.
type Token struct {
	// Pins are ordered by index.
	Pins []Pin
}

// Token returns the token that names the snapshot.
func (s Snapshot) Token() Token { return Token{Pins: s.Pins} }

// Keys sign and check tokens. The first key signs; all of them check, so that a key can be replaced.
type Keys [][]byte

// Seal returns the token's text with a MAC under the first key. Without any key it is empty.
func (k Keys) Seal(token Token) (string, error) {
	if len(k) == 0 {
		return "", nil
	}
	body, err := msgpack.Marshal(token.Pins)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(append(body, mac(k[0], body)...)), nil
}

// Open checks a token's text. The error is of kind BadRequest, not run.
func (k Keys) Open(text string) (Token, error) {
	if len(text) > maxTokenBytes {
		return Token{}, errToken("it is longer than any token")
	}
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(strings.TrimSpace(text))
	if err != nil || len(sealed) < macBytes {
		return Token{}, errToken("it is not in base64 or too short")
	}
	body, sum := sealed[:len(sealed)-macBytes], sealed[len(sealed)-macBytes:]
	if !slices.ContainsFunc(k, func(key []byte) bool { return hmac.Equal(sum, mac(key, body)) }) {
		return Token{}, errToken("no valid key made it")
	}
	var token Token
	if err := msgpack.Unmarshal(body, &token.Pins); err != nil {
		return Token{}, errToken("its content cannot be read")
	}
	return token, nil
}

// mac covers the purpose, so that nothing else signed with the fleet key passes as a snapshot token.
func mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(tokenPurpose))
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

func errToken(reason string) error {
	return fault.New(fault.BadRequest, fault.NotRun,
		"send a snapshot token from an answer of the last 24 hours, unchanged", "the snapshot token is not valid: %s", reason)
}
