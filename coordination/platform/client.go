package platform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

const (
	// defaultCallTimeout bounds a call that does not wait. The service answers
	// in milliseconds, so a call this late is taken as lost.
	defaultCallTimeout = 5 * time.Second
	// maxFlagBytes bounds the answer to a write, which is true or false or a
	// session.
	maxFlagBytes = 16 << 10
	// maxEntryBytes bounds the answer with one entry: a value of MaxValueBytes
	// in base64 and its metadata.
	maxEntryBytes = 2 * MaxValueBytes
	// maxListBytes bounds an answer with many entries or instances; 24,000
	// instances take about 700 bytes each.
	maxListBytes = 32 << 20
)

// Client calls the subset of the published Consul HTTP API that azurepoint uses;
// it implements Store, Leases, Instances and InstanceWatch.
type Client struct {
	// Address is the IP number and port of the service.
	Address string
	// Name is sent as the user agent, so that the service can tell clients apart.
	Name string
	// CallTimeout bounds each call that does not wait; zero means 5 s. A
	// context may end a call earlier.
	CallTimeout time.Duration
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

var (
	_ Store         = (*Client)(nil)
	_ Leases        = (*Client)(nil)
	_ InstanceWatch = (*Client)(nil)
)

// call is one request to the service.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// limit is the largest accepted answer, in bytes.
	limit int64
	// extra is how long the service may take beyond the call timeout.
	extra time.Duration
}

// answer is a complete response with a status below 500.
type answer struct {
	status int
	index  int64
	body   []byte
}

// do sends the call; every failure to get a complete answer is ErrUnavailable,
// because the service may have carried out the call.
func (c *Client) do(ctx context.Context, o call) (a answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout()+o.extra)
	defer cancel()
	at := url.URL{Scheme: "http", Host: c.Address, Path: o.path, RawQuery: o.query.Encode()}
	r, err := http.NewRequestWithContext(ctx, o.method, at.String(), bytes.NewReader(o.body))
	if err != nil {
		return a, errors.Wrap(err, "build request")
	}
	r.Header.Set("User-Agent", c.Name)
	w, err := c.sender().Do(r)
	if err != nil {
		return a, unavailable(err)
	}
	defer func() { _ = w.Body.Close() }()
	a.status = w.StatusCode
	a.index = indexOf(w.Header)
	if a.body, err = readAll(w.Body, o.limit); err != nil {
		return a, unavailable(err)
	}
	if a.status >= http.StatusInternalServerError || a.status == http.StatusTooManyRequests {
		return a, unavailable(a.unexpected())
	}
	return a, nil
}

func (c *Client) timeout() time.Duration {
	if c.CallTimeout > 0 {
		return c.CallTimeout
	}
	return defaultCallTimeout
}

func (c *Client) sender() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

// unexpected reports an answer that the API does not provide for the call.
func (a answer) unexpected() (err error) {
	return errors.Errorf("status %d: %.200q", a.status, a.body)
}

// flag reads the answer to a write; anything but true or false leaves it open
// whether the write took effect.
func (a answer) flag() (done bool, err error) {
	if a.status != http.StatusOK {
		return false, a.unexpected()
	}
	switch string(bytes.TrimSpace(a.body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, unavailable(errors.Errorf("answer %.200q is neither true nor false", a.body))
}

func unavailable(cause error) (err error) {
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

func readAll(r io.Reader, limit int64) (body []byte, err error) {
	body, err = io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if int64(len(body)) > limit {
		return nil, errors.Errorf("answer is larger than %d bytes", limit)
	}
	return body, nil
}

// indexOf returns the service's index, at least 1: waiting for a change after 0
// returns at once, so a missing index would make a watch spin.
func indexOf(h http.Header) (index int64) {
	index, err := strconv.ParseInt(h.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return 1
	}
	return max(1, index)
}

// waitQuery makes the service hold the answer until its index is above after;
// extra is how much longer than usual the answer may take, with the sixteenth
// that the service adds to spread its watches.
func waitQuery(q url.Values, after int64, until time.Time) (extra time.Duration) {
	wait := time.Until(until).Truncate(time.Millisecond)
	if after <= 0 || wait <= 0 {
		return 0
	}
	q.Set("index", strconv.FormatInt(after, 10))
	q.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10)+"ms")
	return wait + wait/16
}
