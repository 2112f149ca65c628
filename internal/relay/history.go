package relay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

const (
	// maxRemovals limits the remembered removals. A host that is further behind must list all entries again.
	maxRemovals = 8192
	// replyBytes limits the entries or changes of a reply, of which there is at least one. Together with a value of the largest
	// size that the store takes, they fit into a frame.
	replyBytes = 256 << 10
	// entryOverhead is the size of an entry in a reply beside its key and its value, in bytes.
	entryOverhead = 32
	// minOrderCapacity is the number of changes up to which outdated ones are not worth dropping.
	minOrderCapacity = 1024
)

// history holds the latest change of each key: its entry, or the revision of its removal. Earlier versions are dropped, because a value
// may have up to a megabyte and no host needs them. It is not safe for concurrent use.
type history struct {
	entries map[string]store.Entry
	removed map[string]store.Revision
	// keys holds the keys of the entries in order, or nil if they are to be determined.
	keys []string
	// order holds the changes since compacted by revision. Those whose key has changed again are outdated.
	order []keyChange
	// revision is the one up to which the copy is complete. Entries may be later: the pages of a listing are not a snapshot.
	revision store.Revision
	// compacted is the revision after which the changes are complete.
	compacted store.Revision
}

// keyChange states that a key was changed at a revision.
type keyChange struct {
	key      string
	revision store.Revision
}

func newHistory() history {
	return history{entries: map[string]store.Entry{}, removed: map[string]store.Revision{}}
}

// reset replaces all entries with a listing. Changes before it are no longer known: the listing does not say what was removed.
func (h *history) reset(entries []store.Entry, revision store.Revision) {
	h.entries = make(map[string]store.Entry, len(entries))
	for _, entry := range entries {
		h.entries[entry.Key] = entry
	}
	clear(h.removed)
	h.keys, h.order = nil, nil
	h.revision, h.compacted = revision, revision
}

// apply adds a change. Changes must be added in revision order.
func (h *history) apply(change *store.Change) {
	if _, known := h.entries[change.Key]; known == change.Removed {
		h.keys = nil
	}
	if change.Removed {
		delete(h.entries, change.Key)
		h.removed[change.Key] = change.Revision
	} else {
		delete(h.removed, change.Key)
		h.entries[change.Key] = change.Entry
	}
	h.revision = max(h.revision, change.Revision)
	h.order = append(h.order, keyChange{change.Key, change.Revision})
	if len(h.removed) > maxRemovals {
		h.forgetRemovals(maxRemovals / 2)
	}
	if len(h.order) > minOrderCapacity+2*(len(h.entries)+len(h.removed)) {
		h.order = slices.DeleteFunc(h.order, func(c keyChange) bool { return !h.isLatest(c) })
	}
}

// forgetRemovals drops the earliest removals. The changes before them are then no longer complete.
func (h *history) forgetRemovals(count int) {
	revisions := slices.Sorted(maps.Values(h.removed))
	h.compacted = max(h.compacted, revisions[count-1])
	maps.DeleteFunc(h.removed, func(_ string, at store.Revision) bool { return at <= h.compacted })
	h.order = slices.DeleteFunc(h.order, func(c keyChange) bool { return c.revision <= h.compacted })
}

// isLatest reports whether a key has not changed since.
func (h *history) isLatest(c keyChange) bool {
	if entry, ok := h.entries[c.key]; ok {
		return entry.Revision == c.revision
	}
	return h.removed[c.key] == c.revision
}

// since returns the latest changes after a revision, which must not be before compacted, and the revision that they reach. The changes
// of one revision are not divided between two replies.
func (h *history) since(after store.Revision) ([]store.Change, store.Revision) {
	first, _ := slices.BinarySearchFunc(h.order, after+1, func(c keyChange, r store.Revision) int { return cmp.Compare(c.revision, r) })
	var found []store.Change
	size := 0
	for _, c := range h.order[first:] {
		if !h.isLatest(c) {
			continue
		}
		if last := len(found) - 1; size >= replyBytes && found[last].Revision < c.revision {
			return found, found[last].Revision
		}
		change := h.latest(c)
		found = append(found, change)
		size += sizeOf(&change.Entry)
	}
	return found, h.revision
}

// latest returns the change of a key that is not outdated.
func (h *history) latest(c keyChange) store.Change {
	if entry, ok := h.entries[c.key]; ok {
		return store.Change{Entry: entry}
	}
	return store.Change{Entry: store.Entry{Key: c.key, Revision: c.revision}, Removed: true}
}

// page returns the entries after a key, and whether further ones follow. Without paged it returns all of them.
func (h *history) page(after string, paged bool) (page []store.Entry, more bool) {
	if h.keys == nil {
		h.keys = slices.Sorted(maps.Keys(h.entries))
	}
	next, found := slices.BinarySearch(h.keys, after)
	if found {
		next++
	}
	size := 0
	for _, key := range h.keys[next:] {
		if paged && size >= replyBytes {
			return page, true
		}
		entry := h.entries[key]
		page = append(page, entry)
		size += sizeOf(&entry)
	}
	return page, false
}

func sizeOf(entry *store.Entry) int { return len(entry.Key) + len(entry.Value) + entryOverhead }

func sizeOfAll(changes []store.Change) int {
	size := 0
	for i := range changes {
		size += sizeOf(&changes[i].Entry)
	}
	return size
}
