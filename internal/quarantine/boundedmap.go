package quarantine

import "container/list"

// boundedMap is a map with a size limit that evicts the entry inserted first.
type boundedMap[K comparable, V any] struct {
	limit   int
	entries map[K]*list.Element
	order   *list.List
}

type boundedEntry[K comparable, V any] struct {
	key   K
	value V
}

func newBoundedMap[K comparable, V any](limit int) *boundedMap[K, V] {
	return &boundedMap[K, V]{limit: limit, entries: map[K]*list.Element{}, order: list.New()}
}

func (m *boundedMap[K, V]) get(key K) (value V, ok bool) {
	element, ok := m.entries[key]
	if !ok {
		return value, false
	}
	return element.Value.(*boundedEntry[K, V]).value, true
}

func (m *boundedMap[K, V]) put(key K, value V) {
	if element, ok := m.entries[key]; ok {
		element.Value.(*boundedEntry[K, V]).value = value
		return
	}
	if len(m.entries) >= m.limit {
		m.remove(m.order.Front().Value.(*boundedEntry[K, V]).key)
	}
	m.entries[key] = m.order.PushBack(&boundedEntry[K, V]{key, value})
}

func (m *boundedMap[K, V]) remove(key K) {
	if element, ok := m.entries[key]; ok {
		m.order.Remove(element)
		delete(m.entries, key)
	}
}

// each calls visit for every entry, in the order of insertion.
func (m *boundedMap[K, V]) each(visit func(K, V)) {
	for element := m.order.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*boundedEntry[K, V])
		visit(entry.key, entry.value)
	}
}

func (m *boundedMap[K, V]) len() int { return len(m.entries) }
