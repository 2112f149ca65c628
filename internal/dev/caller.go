package dev

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// AddCaller adds a trial caller to the catalogue, see TrialCaller.
func AddCaller(catalogue *model.Catalogue, id model.CallerID, token string) {
	catalogue.Callers = append(catalogue.Callers, TrialCaller(catalogue, id, token))
}

// TrialCaller returns a catalogue entry for a caller with access to every search and service.
func TrialCaller(catalogue *model.Catalogue, id model.CallerID, token string) model.Caller {
	sum := sha256.Sum256([]byte(token))
	caller := model.Caller{
		ID:          id,
		Owner:       "operators",
		Class:       model.ClassInteractive,
		TokenSHA256: []string{hex.EncodeToString(sum[:])},
		Rate:        1000,
		InFlight:    200,
		Cost:        30000,
	}
	for _, search := range catalogue.Searches {
		caller.Searches = append(caller.Searches, search.ID)
	}
	for _, service := range catalogue.Services {
		caller.Services = append(caller.Services, service.ID)
	}
	return caller
}
