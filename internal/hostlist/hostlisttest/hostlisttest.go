// Package hostlisttest provides the conformance test suite for implementations of hostlist.HostList.
package hostlisttest

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/hostlist"
)

// Subject is a host list under test, with functions that change its records and make it unavailable.
type Subject struct {
	HostList hostlist.HostList
	Set      func(records []hostlist.Record)
	SetDown  func(down bool)
}

// Run runs the suite. newSubject must return a new, empty list for each test.
func Run(t *testing.T, newSubject func(t *testing.T) Subject) {
	t.Run("empty", func(t *testing.T) {
		records, err := newSubject(t).HostList.Hosts(t.Context())
		require.NoError(t, err)
		require.Empty(t, records)
	})
	t.Run("records", func(t *testing.T) { returnsRecords(t, newSubject(t)) })
	t.Run("down", func(t *testing.T) { failsWhenDown(t, newSubject(t)) })
	t.Run("context", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := newSubject(t).HostList.Hosts(ctx)
		require.Error(t, err)
	})
}

func returnsRecords(t *testing.T, s Subject) {
	records := []hostlist.Record{
		{ID: "a", Address: "127.0.0.1:1", DataCentre: "x", State: hostlist.Live},
		{ID: "b", Address: "127.0.0.1:2", DataCentre: "y", State: hostlist.Leaving},
	}
	s.Set(records)
	got, err := s.HostList.Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, records, got)
	s.Set(records[1:])
	got, err = s.HostList.Hosts(t.Context())
	require.NoError(t, err)
	require.Equal(t, records[1:], got)
}

func failsWhenDown(t *testing.T, s Subject) {
	s.Set([]hostlist.Record{{ID: "a", Address: "127.0.0.1:1", DataCentre: "x", State: hostlist.Live}})
	s.SetDown(true)
	_, err := s.HostList.Hosts(t.Context())
	require.Error(t, err, "an outage must not be reported as an empty list")
	s.SetDown(false)
	records, err := s.HostList.Hosts(t.Context())
	require.NoError(t, err)
	require.Len(t, records, 1)
}
