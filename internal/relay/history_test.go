package relay

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// pulledCopy is the copy of a host that pulls changes.
type pulledCopy struct {
	after  store.Revision
	values map[string]store.Revision
}

// pull reads up to a number of parts, and returns whether nothing is missing.
func (c *pulledCopy) pull(t require.TestingT, h *history, parts int) bool {
	if c.after < h.compacted {
		c.values = valuesOf(h.entries)
		c.after = h.revision
	}
	for range parts {
		changes, revision := h.since(c.after)
		for _, change := range changes {
			require.Greater(t, change.Revision, c.after)
			require.LessOrEqual(t, change.Revision, revision)
			delete(c.values, change.Key)
			if !change.Removed {
				c.values[change.Key] = change.Revision
			}
		}
		c.after = revision
	}
	return c.after == h.revision
}

func valuesOf(entries map[string]store.Entry) map[string]store.Revision {
	values := map[string]store.Revision{}
	for key, entry := range entries {
		values[key] = entry.Revision
	}
	return values
}

// TestPullsAgreeWithAllChanges guards against hosts that miss a write or a removal because outdated changes are dropped. The reference
// applies each change. Hosts pull at any time, a part at a time; values are so large that few fit into one.
func TestPullsAgreeWithAllChanges(t *testing.T) {
	value := make([]byte, replyBytes/3)
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory()
		h.reset([]store.Entry{{Key: "k0", Value: value, Revision: 7}}, 10)
		reference := map[string]store.Revision{"k0": 7}
		hosts := make([]pulledCopy, 4)
		for i := range hosts {
			hosts[i] = pulledCopy{after: 10, values: maps.Clone(reference)}
		}
		revision := store.Revision(10)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			revision += store.Revision(rapid.IntRange(1, 3).Draw(t, "gap"))
			for range rapid.IntRange(1, 2).Draw(t, "changes of one revision") {
				key := fmt.Sprint("k", rapid.IntRange(0, 9).Draw(t, "key"))
				removed := rapid.Bool().Draw(t, "removed")
				h.apply(&store.Change{Entry: store.Entry{Key: key, Value: value, Revision: revision}, Removed: removed})
				delete(reference, key)
				if !removed {
					reference[key] = revision
				}
			}
			host := &hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			if host.pull(t, &h, rapid.IntRange(0, 3).Draw(t, "parts")) {
				require.Equal(t, reference, host.values)
			}
		}
		for i := range hosts {
			require.True(t, hosts[i].pull(t, &h, 30))
			require.Equal(t, reference, hosts[i].values)
		}
	})
}

// TestOutdatedChangesTakeNoMemory guards against a list of changes that grows for ever, and against dropping a change that is not outdated.
func TestOutdatedChangesTakeNoMemory(t *testing.T) {
	const keys, writes = 10, 100_000
	h := newHistory()
	for i := range writes {
		h.apply(&store.Change{Entry: store.Entry{Key: fmt.Sprint("k", i%keys), Revision: store.Revision(i + 1)}, Removed: i%3 == 0})
	}
	require.LessOrEqual(t, len(h.order), minOrderCapacity+2*keys)
	changes, revision := h.since(0)
	require.Len(t, changes, keys)
	require.Equal(t, store.Revision(writes), revision)
}
