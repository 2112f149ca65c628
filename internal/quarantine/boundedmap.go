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

func (t *boundedMap[K, V]) get(key K) (value V, ok bool) {
	element, ok := t.entries[key]
	if !ok {
		return value, false
	}
	return element.Value.(*boundedEntry[K, V]).value, true
}

func (t *boundedMap[K, V]) put(key K, value V) {
	if element, ok := t.entries[key]; ok {
		element.Value.(*boundedEntry[K, V]).value = value
		return
	}
	if len(t.entries) >= t.limit {
		t.remove(t.order.Front().Value.(*boundedEntry[K, V]).key)
	}
	t.entries[key] = t.order.PushBack(&boundedEntry[K, V]{key, value})
}

func (t *boundedMap[K, V]) remove(key K) {
	if element, ok := t.entries[key]; ok {
		t.order.Remove(element)
		delete(t.entries, key)
	}
}

func (t *boundedMap[K, V]) each(visit func(K, V)) {
	for element := t.order.Front(); element != nil; element = element.Next() {
		r := element.Value.(*boundedEntry[K, V])
		visit(r.key, r.value)
	}
}

func (t *boundedMap[K, V]) len() int { return len(t.entries) }
