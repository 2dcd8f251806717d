package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// ErrTooLarge means that a value exceeds MaxValueBytes and was not sent.
var ErrTooLarge = errors.New("platform: value too large")

// keyValue is an entry in the JSON form of the service.
type keyValue struct {
	Key         string
	Value       []byte
	ModifyIndex int64
}

// Get returns the entry of a key. It includes all writes that were acknowledged
// before the call.
func (c *Client) Get(ctx context.Context, key string) (entry Item, found bool, err error) {
	defer wrapError(&err, "get", key)
	a, err := c.do(ctx, request{
		method:   http.MethodGet,
		path:     kvPath(key),
		query:    url.Values{"consistent": {"true"}},
		maxBytes: maxEntryResponseBytes,
	})
	if err != nil {
		return Item{}, false, err
	}
	entries, err := a.parseEntries()
	if err != nil || len(entries) == 0 {
		return Item{}, false, err
	}
	return entries[0], true, nil
}

// List returns the entries below prefix. It includes all writes that were
// acknowledged before the call.
func (c *Client) List(ctx context.Context, prefix string) (entries []Item, index int64, err error) {
	defer wrapError(&err, "list", prefix)
	return c.list(ctx, prefix, url.Values{"consistent": {"true"}}, 0)
}

// Wait returns the entries below prefix once the service's index for the prefix is
// above after, or when the deadline passes. It returns at once if after is 0.
func (c *Client) Wait(ctx context.Context, prefix string, after int64, until time.Time) (entries []Item, index int64, err error) {
	defer wrapError(&err, "wait", prefix)
	q := url.Values{}
	extra := setBlockingQuery(q, after, until)
	return c.list(ctx, prefix, q, extra)
}

func (c *Client) list(ctx context.Context, prefix string, q url.Values, extra time.Duration) (entries []Item, index int64, err error) {
	q.Set("recurse", "true")
	a, err := c.do(ctx, request{
		method:       http.MethodGet,
		path:         kvPath(prefix),
		query:        q,
		maxBytes:     maxListResponseBytes,
		extraTimeout: extra,
	})
	if err != nil {
		return nil, 0, err
	}
	entries, err = a.parseEntries()
	return entries, a.index, err
}

// CompareAndSwap writes the value if the key has the expected revision.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (swapped bool, err error) {
	defer wrapError(&err, "write", key)
	if len(value) > MaxValueBytes {
		return false, errors.Wrapf(ErrTooLarge, "%d bytes, above %d", len(value), MaxValueBytes)
	}
	a, err := c.do(ctx, request{
		method:   http.MethodPut,
		path:     kvPath(key),
		query:    url.Values{"cas": {strconv.FormatInt(expected, 10)}},
		body:     value,
		maxBytes: maxWriteResponseBytes,
	})
	if err != nil {
		return false, err
	}
	return a.parseBool()
}

// Delete removes the key if it has the expected revision, which must not be 0.
func (c *Client) Delete(ctx context.Context, key string, expected int64) (deleted bool, err error) {
	defer wrapError(&err, "delete", key)
	if expected <= 0 {
		return false, errors.Errorf("expected revision is %d, below 1", expected)
	}
	a, err := c.do(ctx, request{
		method:   http.MethodDelete,
		path:     kvPath(key),
		query:    url.Values{"cas": {strconv.FormatInt(expected, 10)}},
		maxBytes: maxWriteResponseBytes,
	})
	if err != nil {
		return false, err
	}
	return a.parseBool()
}

// parseEntries parses a response with entries. An unknown key results in none.
func (a response) parseEntries() (entries []Item, err error) {
	if a.status == http.StatusNotFound {
		return nil, nil
	}
	if a.status != http.StatusOK {
		return nil, a.statusError()
	}
	var found []keyValue
	if err = json.Unmarshal(a.body, &found); err != nil {
		return nil, wrapUnavailable(err)
	}
	entries = make([]Item, 0, len(found))
	for _, k := range found {
		entries = append(entries, Item{Key: k.Key, Value: k.Value, Revision: k.ModifyIndex})
	}
	return entries, nil
}

func kvPath(key string) string {
	return "/v1/kv/" + key
}

func wrapError(err *error, action, object string) {
	if *err != nil {
		*err = errors.Wrapf(*err, "platform: %s %s", action, object)
	}
}
