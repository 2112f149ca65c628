package quarantine

import "container/list"

// table is a bounded map that evicts the entry which was put first.
type table[K comparable, V any] struct {
	limit   int
	entries map[K]*list.Element
	order   *list.List
}

type row[K comparable, V any] struct {
	key   K
	value V
}

func newTable[K comparable, V any](limit int) *table[K, V] {
	return &table[K, V]{limit: limit, entries: map[K]*list.Element{}, order: list.New()}
}

func (t *table[K, V]) get(key K) (value V, ok bool) {
	element, ok := t.entries[key]
	if !ok {
		return value, false
	}
	return element.Value.(*row[K, V]).value, true
}

func (t *table[K, V]) put(key K, value V) {
	if element, ok := t.entries[key]; ok {
		element.Value.(*row[K, V]).value = value
		return
	}
	if len(t.entries) >= t.limit {
		t.remove(t.order.Front().Value.(*row[K, V]).key)
	}
	t.entries[key] = t.order.PushBack(&row[K, V]{key, value})
}

func (t *table[K, V]) remove(key K) {
	if element, ok := t.entries[key]; ok {
		t.order.Remove(element)
		delete(t.entries, key)
	}
}

func (t *table[K, V]) each(visit func(K, V)) {
	for element := t.order.Front(); element != nil; element = element.Next() {
		r := element.Value.(*row[K, V])
		visit(r.key, r.value)
	}
}

func (t *table[K, V]) len() int { return len(t.entries) }
