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
	// defaultCallTimeout limits a call that does not wait for a change. The service
	// responds in milliseconds, so a later response is treated as lost.
	defaultCallTimeout = 5 * time.Second
	// maxWriteResponseBytes limits the response to a write, which is true, false or
	// a session.
	maxWriteResponseBytes = 16 << 10
	// maxEntryResponseBytes limits the response with one entry: a value of
	// MaxValueBytes in base64 and its metadata.
	maxEntryResponseBytes = 2 * MaxValueBytes
	// maxListResponseBytes limits a response with many entries or instances; 24,000
	// instances take about 700 bytes each.
	maxListResponseBytes = 32 << 20
)

// Client calls the subset of the published Consul HTTP API that azurepoint uses. It
// implements Store, Leases, InstanceLister and InstanceWatcher.
type Client struct {
	// Address is the IP address and port of the service.
	Address string
	// Name is sent as the user agent, so that the service can distinguish its
	// clients.
	Name string
	// CallTimeout limits each call that does not wait for a change; zero means 5 s.
	// A context may end a call earlier.
	CallTimeout time.Duration
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

var (
	_ Store           = (*Client)(nil)
	_ Leases          = (*Client)(nil)
	_ InstanceWatcher = (*Client)(nil)
)

// request is one HTTP request to the service.
type request struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// maxBytes is the maximum size of the response body.
	maxBytes int64
	// extraTimeout is added to the call timeout; it covers the time that the
	// service waits for a change.
	extraTimeout time.Duration
}

// response is a complete HTTP response with a status below 500 other than 429.
type response struct {
	status int
	index  int64
	body   []byte
}

// do sends a request. Every failure to get a complete response is ErrUnavailable,
// because the service may have carried out the request.
func (c *Client) do(ctx context.Context, req request) (a response, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout()+req.extraTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: c.Address, Path: req.path, RawQuery: req.query.Encode()}
	r, err := http.NewRequestWithContext(ctx, req.method, target.String(), bytes.NewReader(req.body))
	if err != nil {
		return a, errors.Wrap(err, "build request")
	}
	r.Header.Set("User-Agent", c.Name)
	res, err := c.httpClient().Do(r)
	if err != nil {
		return a, wrapUnavailable(err)
	}
	defer func() { _ = res.Body.Close() }()
	a.status = res.StatusCode
	a.index = responseIndex(res.Header)
	if a.body, err = readLimited(res.Body, req.maxBytes); err != nil {
		return a, wrapUnavailable(err)
	}
	if a.status >= http.StatusInternalServerError || a.status == http.StatusTooManyRequests {
		return a, wrapUnavailable(a.statusError())
	}
	return a, nil
}

func (c *Client) timeout() time.Duration {
	if c.CallTimeout > 0 {
		return c.CallTimeout
	}
	return defaultCallTimeout
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

// statusError reports a status that the API does not specify for the request.
func (a response) statusError() (err error) {
	return errors.Errorf("status %d: %.200q", a.status, a.body)
}

// parseBool parses the response to a write. For a body other than true or false it
// returns ErrUnavailable, as the write may have taken effect.
func (a response) parseBool() (done bool, err error) {
	if a.status != http.StatusOK {
		return false, a.statusError()
	}
	switch string(bytes.TrimSpace(a.body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, wrapUnavailable(errors.Errorf("response %.200q is neither true nor false", a.body))
}

func wrapUnavailable(cause error) (err error) {
	return fmt.Errorf("%w: %w", ErrUnavailable, cause)
}

func readLimited(r io.Reader, limit int64) (body []byte, err error) {
	body, err = io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if int64(len(body)) > limit {
		return nil, errors.Errorf("response is larger than %d bytes", limit)
	}
	return body, nil
}

// responseIndex returns the service's index, at least 1: a query that waits for a
// change after index 0 returns at once, so a missing index would turn a watch into
// a busy loop.
func responseIndex(h http.Header) (index int64) {
	index, err := strconv.ParseInt(h.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return 1
	}
	return max(1, index)
}

// setBlockingQuery makes the service delay its response until its index is above
// the given one. It returns the additional time that the response may take, including the
// sixteenth that the service adds to spread the timeouts of blocking queries.
func setBlockingQuery(q url.Values, after int64, until time.Time) (extra time.Duration) {
	wait := time.Until(until).Truncate(time.Millisecond)
	if after <= 0 || wait <= 0 {
		return 0
	}
	q.Set("index", strconv.FormatInt(after, 10))
	q.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10)+"ms")
	return wait + wait/16
}
