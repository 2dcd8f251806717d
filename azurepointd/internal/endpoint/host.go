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
	// maxHosts is how many endpoints are remembered before idle ones are dropped.
	maxHosts = 512
	// idleTime is how long an endpoint is remembered without a call.
	idleTime = 10 * time.Minute
	// dialTimeout bounds the set-up of a connection; endpoints are in the same
	// data centre.
	dialTimeout = time.Second
	// controlConnections is how many connections to an endpoint are kept apart
	// for calls that settle, so that hung tasks cannot block them.
	controlConnections = 4
)

// taskTransport and controlTransport keep the connections to all endpoints.
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

// dial connects to an endpoint and counts the bytes.
func dial(ctx context.Context, network, address string) (c net.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return traffic.NewMeter("endpoint").DialContext(ctx, network, address)
}

// host is what the client keeps of one endpoint.
type host struct {
	// tasks is for calls that wait for a task's end, control for all others.
	tasks   endpointapi.Invoker
	control endpointapi.Invoker
	// err is why there is no API, for example a malformed address.
	err error

	mutex  sync.Mutex
	inUse  int
	fence  int64
	usedAt time.Time
}

func (h *host) enter(limit int) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.inUse >= limit {
		return false
	}
	h.inUse++
	return true
}

func (h *host) leave() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.inUse--
}

func (h *host) knownFence() int64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.fence
}

func (h *host) setFence(fence int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.fence = fence
}

func (h *host) idle(before time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.inUse == 0 && h.usedAt.Before(before)
}

func (h *host) touch(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.usedAt = now
}

func (c *Client) host(address string) (h *host) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	h, known := c.hosts[address]
	if !known {
		c.dropIdle(now)
		if c.hosts == nil {
			c.hosts = make(map[string]*host)
		}
		h = c.newHost(address)
		c.hosts[address] = h
	}
	h.touch(now)
	return h
}

func (c *Client) dropIdle(now time.Time) {
	if len(c.hosts) < maxHosts {
		return
	}
	for address, h := range c.hosts {
		if h.idle(now.Add(-idleTime)) {
			delete(c.hosts, address)
		}
	}
}

func (c *Client) newHost(address string) (h *host) {
	h = &host{}
	h.tasks, h.err = c.connect(address, taskTransport)
	if h.err == nil {
		h.control, h.err = c.connect(address, controlTransport)
	}
	return h
}

func (c *Client) connect(address string, t http.RoundTripper) (api endpointapi.Invoker, err error) {
	if c.Connect != nil {
		return c.Connect(address)
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return endpointapi.NewClient(address, endpointapi.WithClient(&http.Client{Transport: t}))
}
