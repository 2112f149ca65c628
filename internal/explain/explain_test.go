package explain

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRecorderIsBounded guards against an unbounded number or size of records, and against returning the record of
// another query.
func TestRecorderIsBounded(t *testing.T) {
	recorder := NewRecorder(3)
	var queries []*Query
	for range 5 {
		q := recorder.Begin("search")
		for range MaxAttempts + 2 {
			q.Attempt(Attempt{Role: "first"}, time.Now(), time.Now())
		}
		recorder.End(q)
		queries = append(queries, q)
	}
	require.Len(t, recorder.byID, 3)
	for i, q := range queries {
		record, kept := recorder.Explain(q.ID())
		require.Equal(t, i >= 2, kept)
		if kept {
			require.Equal(t, q.ID(), record.(Record).QueryID)
			require.Len(t, record.(Record).Attempts, MaxAttempts)
			require.Equal(t, 2, record.(Record).DroppedAttempts)
		}
	}
}

// TestNoQueryInContext guards against a crash of code that runs outside of a query, such as a background task.
func TestNoQueryInContext(t *testing.T) {
	q := FromContext(context.Background())
	q.Attempt(Attempt{}, time.Now(), time.Now())
	require.Empty(t, q.ID())
}
