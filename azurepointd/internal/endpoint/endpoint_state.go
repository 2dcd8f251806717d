package endpoint

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/azurepoint/azurepoint/api/endpointapi"
	"github.com/azurepoint/azurepoint/azurepointd/internal/traffic"
)

const (
	// maxEndpoints is the number of cached endpoints at which idle ones are evicted.
	maxEndpoints = 512
	// idleTimeout is how long an endpoint without calls is cached.
	idleTimeout = 10 * time.Minute
	// dialTimeout limits the connection setup; endpoints are in the same data
	// centre.
	dialTimeout = time.Second
	// controlConnections is the number of connections per endpoint reserved for
	// calls other than RunTask, so that hanging tasks cannot block them.
	controlConnections = 4
)

// taskTransport and controlTransport hold the connections to all endpoints.
var (
	taskTransport    = newTransport(DefaultConnections)
	controlTransport = newTransport(controlConnections)
)

func newTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     time.Minute,
	}
}

// dial connects to an endpoint and counts the bytes of the connection.
func dial(ctx context.Context, network, address string) (c net.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return traffic.NewMeter("endpoint").DialContext(ctx, network, address)
}

// endpointState holds the API clients and the cached fence of one endpoint.
type endpointState struct {
	// tasks is for calls that wait until a task ends, control for all others.
	tasks   endpointapi.Invoker
	control endpointapi.Invoker
	// err is set if the API clients could not be created, for example because
	// of a malformed address.
	err error

	mutex  sync.Mutex
	inUse  int
	fence  int64
	usedAt time.Time
}

func (h *endpointState) acquireConnection(limit int) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.inUse >= limit {
		return false
	}
	h.inUse++
	return true
}

func (h *endpointState) releaseConnection() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.inUse--
}

func (h *endpointState) cachedFence() int64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.fence
}

func (h *endpointState) setFence(fence int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.fence = fence
}

func (h *endpointState) idleSince(before time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.inUse == 0 && h.usedAt.Before(before)
}

func (h *endpointState) markUsed(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.usedAt = now
}

func (c *Client) stateOf(address string) (h *endpointState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	h, known := c.endpoints[address]
	if !known {
		c.evictIdle(now)
		if c.endpoints == nil {
			c.endpoints = make(map[string]*endpointState)
		}
		h = c.newEndpointState(address)
		c.endpoints[address] = h
	}
	h.markUsed(now)
	return h
}

func (c *Client) evictIdle(now time.Time) {
	if len(c.endpoints) < maxEndpoints {
		return
	}
	for address, h := range c.endpoints {
		if h.idleSince(now.Add(-idleTimeout)) {
			delete(c.endpoints, address)
		}
	}
}

func (c *Client) newEndpointState(address string) (h *endpointState) {
	h = &endpointState{}
	h.tasks, h.err = c.newAPI(address, taskTransport)
	if h.err == nil {
		h.control, h.err = c.newAPI(address, controlTransport)
	}
	return h
}

func (c *Client) newAPI(address string, t http.RoundTripper) (api endpointapi.Invoker, err error) {
	if c.Connect != nil {
		return c.Connect(address)
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return endpointapi.NewClient(address, endpointapi.WithClient(&http.Client{Transport: t}))
}
