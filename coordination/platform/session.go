package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"
)

var (
	// ErrKeyHeld means that another lease holds the key.
	ErrKeyHeld = errors.New("platform: key held by another lease")
	// ErrLeaseEnded means that the service has ended the lease.
	ErrLeaseEnded = errors.New("platform: lease ended")
)

// session is a lease in the JSON form of the service.
type session struct {
	ID        string `json:",omitempty"`
	Name      string `json:",omitempty"`
	TTL       string `json:",omitempty"`
	Behaviour string `json:"Behavior,omitempty"` //nolint:misspell // published name
	LockDelay string `json:",omitempty"`
}

// Register writes a key that the service removes when the lease ends. It returns
// ErrKeyHeld if another lease holds the key. The published service accepts lifetimes
// from 10 s to 24 h.
func (c *Client) Register(ctx context.Context, key string, value []byte, lifetime time.Duration) (lease Lease, err error) {
	defer wrapError(&err, "register", key)
	id, err := c.createSession(ctx, lifetime)
	if err != nil {
		return nil, err
	}
	l := &sessionLease{client: c, id: id, lifetime: lifetime}
	a, err := c.do(ctx, request{
		method:   http.MethodPut,
		path:     kvPath(key),
		query:    url.Values{"acquire": {id}},
		body:     value,
		maxBytes: maxWriteResponseBytes,
	})
	acquired := false
	if err == nil {
		acquired, err = a.parseBool()
	}
	if acquired {
		return l, nil
	}
	// If the session were not destroyed, the service would keep it, and perhaps the
	// key, until the lifetime has passed.
	_ = l.End(ctx)
	if err == nil {
		err = ErrKeyHeld
	}
	return nil, err
}

func (c *Client) createSession(ctx context.Context, lifetime time.Duration) (id string, err error) {
	body, err := json.Marshal(session{
		Name:      c.Name,
		TTL:       lifetime.String(),
		Behaviour: "delete",
		LockDelay: "0s",
	})
	if err != nil {
		return "", errors.Wrap(err, "encode session")
	}
	a, err := c.do(ctx, request{method: http.MethodPut, path: "/v1/session/create", body: body, maxBytes: maxWriteResponseBytes})
	if err != nil {
		return "", err
	}
	if a.status != http.StatusOK {
		return "", a.statusError()
	}
	var created session
	if err = json.Unmarshal(a.body, &created); err != nil {
		return "", wrapUnavailable(err)
	}
	if created.ID == "" {
		return "", wrapUnavailable(errors.New("session without an ID"))
	}
	return created.ID, nil
}

// sessionLease is a session of the service that holds one key.
type sessionLease struct {
	client   *Client
	id       string
	lifetime time.Duration
}

// Renew extends the lease. The new deadline is computed from the start of the call,
// because the service may have renewed the lease at any time during the call.
func (l *sessionLease) Renew(ctx context.Context) (until time.Time, err error) {
	defer wrapError(&err, "renew session", l.id)
	until = time.Now().Add(l.lifetime)
	a, err := l.client.do(ctx, request{method: http.MethodPut, path: "/v1/session/renew/" + l.id, maxBytes: maxWriteResponseBytes})
	if err != nil {
		return time.Time{}, err
	}
	switch a.status {
	case http.StatusOK:
		return until, nil
	case http.StatusNotFound:
		return time.Time{}, ErrLeaseEnded
	}
	return time.Time{}, a.statusError()
}

// End ends the lease; the service then removes the key.
func (l *sessionLease) End(ctx context.Context) (err error) {
	defer wrapError(&err, "end session", l.id)
	a, err := l.client.do(ctx, request{method: http.MethodPut, path: "/v1/session/destroy/" + l.id, maxBytes: maxWriteResponseBytes})
	if err != nil {
		return err
	}
	_, err = a.parseBool()
	return err
}
