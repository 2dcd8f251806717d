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

func (e *endpointState) acquireConnection(limit int) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.inUse >= limit {
		return false
	}
	e.inUse++
	return true
}

func (e *endpointState) releaseConnection() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.inUse--
}

func (e *endpointState) cachedFence() int64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.fence
}

func (e *endpointState) setFence(fence int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.fence = fence
}

func (e *endpointState) idleSince(before time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.inUse == 0 && e.usedAt.Before(before)
}

func (e *endpointState) markUsed(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.usedAt = now
}

func (c *Client) stateOf(address string) (e *endpointState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	e, known := c.endpoints[address]
	if !known {
		c.evictIdle(now)
		if c.endpoints == nil {
			c.endpoints = make(map[string]*endpointState)
		}
		e = c.newEndpointState(address)
		c.endpoints[address] = e
	}
	e.markUsed(now)
	return e
}

func (c *Client) evictIdle(now time.Time) {
	if len(c.endpoints) < maxEndpoints {
		return
	}
	for address, e := range c.endpoints {
		if e.idleSince(now.Add(-idleTimeout)) {
			delete(c.endpoints, address)
		}
	}
}

func (c *Client) newEndpointState(address string) (e *endpointState) {
	e = &endpointState{}
	e.tasks, e.err = c.newAPI(address, taskTransport)
	if e.err == nil {
		e.control, e.err = c.newAPI(address, controlTransport)
	}
	return e
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
