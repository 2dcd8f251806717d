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

// ErrTooLarge means that a value is above MaxValueBytes and was not sent.
var ErrTooLarge = errors.New("platform: value too large")

// keyValue is an entry in the service's JSON form.
type keyValue struct {
	Key         string
	Value       []byte
	ModifyIndex int64
}

// Get returns the entry with all writes that were answered before the call.
func (c *Client) Get(ctx context.Context, key string) (entry Entry, found bool, err error) {
	defer annotate(&err, "get", key)
	a, err := c.do(ctx, call{
		method: http.MethodGet,
		path:   kvPath(key),
		query:  url.Values{"consistent": {"true"}},
		limit:  maxEntryBytes,
	})
	if err != nil {
		return Entry{}, false, err
	}
	entries, err := a.entries()
	if err != nil || len(entries) == 0 {
		return Entry{}, false, err
	}
	return entries[0], true, nil
}

// List returns the entries with all writes that were answered before the call.
func (c *Client) List(ctx context.Context, prefix string) (entries []Entry, index int64, err error) {
	defer annotate(&err, "list", prefix)
	return c.list(ctx, prefix, url.Values{"consistent": {"true"}}, 0)
}

// Wait returns the entries below prefix once the service's index for it is
// above after, or when the deadline passes; after 0 returns at once.
func (c *Client) Wait(ctx context.Context, prefix string, after int64, until time.Time) (entries []Entry, index int64, err error) {
	defer annotate(&err, "wait", prefix)
	q := url.Values{}
	extra := waitQuery(q, after, until)
	return c.list(ctx, prefix, q, extra)
}

func (c *Client) list(ctx context.Context, prefix string, q url.Values, extra time.Duration) (entries []Entry, index int64, err error) {
	q.Set("recurse", "true")
	a, err := c.do(ctx, call{
		method: http.MethodGet,
		path:   kvPath(prefix),
		query:  q,
		limit:  maxListBytes,
		extra:  extra,
	})
	if err != nil {
		return nil, 0, err
	}
	entries, err = a.entries()
	return entries, a.index, err
}

// CompareAndSwap writes the value if the key's revision is the expected one.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (swapped bool, err error) {
	defer annotate(&err, "write", key)
	if len(value) > MaxValueBytes {
		return false, errors.Wrapf(ErrTooLarge, "%d bytes, above %d", len(value), MaxValueBytes)
	}
	a, err := c.do(ctx, call{
		method: http.MethodPut,
		path:   kvPath(key),
		query:  url.Values{"cas": {strconv.FormatInt(expected, 10)}},
		body:   value,
		limit:  maxFlagBytes,
	})
	if err != nil {
		return false, err
	}
	return a.flag()
}

// Delete removes the key if its revision is the expected one, which is not 0.
func (c *Client) Delete(ctx context.Context, key string, expected int64) (deleted bool, err error) {
	defer annotate(&err, "delete", key)
	if expected <= 0 {
		return false, errors.Errorf("expected revision is %d, below 1", expected)
	}
	a, err := c.do(ctx, call{
		method: http.MethodDelete,
		path:   kvPath(key),
		query:  url.Values{"cas": {strconv.FormatInt(expected, 10)}},
		limit:  maxFlagBytes,
	})
	if err != nil {
		return false, err
	}
	return a.flag()
}

// entries reads an answer with entries; an unknown key is no entry.
func (a answer) entries() (entries []Entry, err error) {
	if a.status == http.StatusNotFound {
		return nil, nil
	}
	if a.status != http.StatusOK {
		return nil, a.unexpected()
	}
	var found []keyValue
	if err = json.Unmarshal(a.body, &found); err != nil {
		return nil, unavailable(err)
	}
	entries = make([]Entry, 0, len(found))
	for _, k := range found {
		entries = append(entries, Entry{Key: k.Key, Value: k.Value, Revision: k.ModifyIndex})
	}
	return entries, nil
}

func kvPath(key string) string {
	return "/v1/kv/" + key
}

func annotate(err *error, action, object string) {
	if *err != nil {
		*err = errors.Wrapf(*err, "platform: %s %s", action, object)
	}
}
