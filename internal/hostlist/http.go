package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/httpreply"
)

const maxResponseBytes = 4 << 20

// HTTP is a HostList client that requests GET /v1/hosts.
type HTTP struct {
	address string
	client  *http.Client
}

// NewHTTP returns a client for the host list at the given host:port address.
func NewHTTP(address string, timeout time.Duration) *HTTP {
	transport := &http.Transport{MaxResponseHeaderBytes: httpreply.MaxHeadBytes}
	return &HTTP{address: address, client: &http.Client{Transport: transport, Timeout: timeout}}
}

// Hosts implements HostList.
func (h *HTTP) Hosts(ctx context.Context) ([]Record, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.address+"/v1/hosts", nil)
	if err != nil {
		return nil, err
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("host list returned status %s", response.Status)
	}
	var records []Record
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&records); err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	return records, nil
}
