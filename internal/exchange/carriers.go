package exchange

import (
	"slices"
	"sync"
)

// carriers records the connections that have carried a request. All attempts of a request have the same ID, so that a late
// copy of the answer to one of them can't be told from the answer to another on the same connection. It is safe for
// concurrent use.
type carriers struct {
	mu          sync.Mutex
	connections []*connection
}

func (c *carriers) add(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connections = append(c.connections, conn)
}

func (c *carriers) contains(conn *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.connections, conn)
}

// hasCarried reports whether the connection has carried the request, which may be nil.
func (c *connection) hasCarried(request *Request) bool {
	return request != nil && request.carriers.contains(c)
}
