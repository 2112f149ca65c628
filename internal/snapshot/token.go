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
	// maxTokenBytes limits the work caused by forged tokens. A token for a search with 1,000 indexes fits.
	maxTokenBytes = 32 << 10
	tokenPurpose  = "snapshot token"
)

// Token identifies a snapshot. Callers receive it as text and send it back.
type Token struct {
	// Pins are sorted by index.
	Pins []Pin
}

// Token returns the token that identifies the snapshot.
func (s Snapshot) Token() Token { return Token{Pins: s.Pins} }

// Keys sign and verify tokens. The first key signs and all of them verify, so that keys can be rotated.
type Keys [][]byte

// Sign encodes the token and appends a MAC made with the first key. Without keys, it returns the empty string.
func (k Keys) Sign(token Token) (string, error) {
	if len(k) == 0 {
		return "", nil
	}
	body, err := msgpack.Marshal(token.Pins)
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(append(body, mac(k[0], body)...)), nil
}

// Verify decodes a token after checking its MAC. The error is of kind BadRequest and states that the request did not
// run.
func (k Keys) Verify(text string) (Token, error) {
	if len(text) > maxTokenBytes {
		return Token{}, invalidTokenError("it exceeds the maximum length")
	}
	signed, err := base64.RawURLEncoding.Strict().DecodeString(strings.TrimSpace(text))
	if err != nil || len(signed) < macBytes {
		return Token{}, invalidTokenError("it is too short or not valid base64")
	}
	body, signature := signed[:len(signed)-macBytes], signed[len(signed)-macBytes:]
	if !slices.ContainsFunc(k, func(key []byte) bool { return hmac.Equal(signature, mac(key, body)) }) {
		return Token{}, invalidTokenError("no current key matches its signature")
	}
	var token Token
	if err := msgpack.Unmarshal(body, &token.Pins); err != nil {
		return Token{}, invalidTokenError("its content cannot be decoded")
	}
	return token, nil
}

// mac includes the purpose, so that no other data signed with the fleet key is accepted as a snapshot token.
func mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(tokenPurpose))
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}

func invalidTokenError(reason string) error {
	return fault.New(fault.BadRequest, fault.NotRun,
		"send a snapshot token from an answer of the last 24 hours, unchanged", "the snapshot token is not valid: %s", reason)
}
