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
	// ErrHeld means that another lease keeps the key.
	ErrHeld = errors.New("platform: key held by another lease")
	// ErrLeaseEnded means that the service has ended the lease.
	ErrLeaseEnded = errors.New("platform: lease ended")
)

// session is a lease in the service's JSON form.
type session struct {
	ID        string `json:",omitempty"`
	Name      string `json:",omitempty"`
	TTL       string `json:",omitempty"`
	Behaviour string `json:"Behavior,omitempty"` //nolint:misspell // published name
	LockDelay string `json:",omitempty"`
}

// Register writes a key that the service removes when the lease ends; it
// returns ErrHeld if another lease keeps the key. The published service accepts
// lifetimes from 10 s to 24 h.
func (c *Client) Register(ctx context.Context, key string, value []byte, lifetime time.Duration) (lease Lease, err error) {
	defer annotate(&err, "register", key)
	id, err := c.createSession(ctx, lifetime)
	if err != nil {
		return nil, err
	}
	l := &clientLease{client: c, id: id, lifetime: lifetime}
	a, err := c.do(ctx, call{
		method: http.MethodPut,
		path:   kvPath(key),
		query:  url.Values{"acquire": {id}},
		body:   value,
		limit:  maxFlagBytes,
	})
	acquired := false
	if err == nil {
		acquired, err = a.flag()
	}
	if acquired {
		return l, nil
	}
	// Without this the service keeps the session, and perhaps the key, until the
	// lifetime has passed.
	_ = l.End(ctx)
	if err == nil {
		err = ErrHeld
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
	a, err := c.do(ctx, call{method: http.MethodPut, path: "/v1/session/create", body: body, limit: maxFlagBytes})
	if err != nil {
		return "", err
	}
	if a.status != http.StatusOK {
		return "", a.unexpected()
	}
	var created session
	if err = json.Unmarshal(a.body, &created); err != nil {
		return "", unavailable(err)
	}
	if created.ID == "" {
		return "", unavailable(errors.New("session without an ID"))
	}
	return created.ID, nil
}

// clientLease is a session of the service that holds one key.
type clientLease struct {
	client   *Client
	id       string
	lifetime time.Duration
}

// Renew extends the lease; the deadline counts from before the call, as the
// service may have renewed it at any moment of the call.
func (l *clientLease) Renew(ctx context.Context) (until time.Time, err error) {
	defer annotate(&err, "renew session", l.id)
	until = time.Now().Add(l.lifetime)
	a, err := l.client.do(ctx, call{method: http.MethodPut, path: "/v1/session/renew/" + l.id, limit: maxFlagBytes})
	if err != nil {
		return time.Time{}, err
	}
	switch a.status {
	case http.StatusOK:
		return until, nil
	case http.StatusNotFound:
		return time.Time{}, ErrLeaseEnded
	}
	return time.Time{}, a.unexpected()
}

// End ends the lease, by which the service removes the key.
func (l *clientLease) End(ctx context.Context) (err error) {
	defer annotate(&err, "end session", l.id)
	a, err := l.client.do(ctx, call{method: http.MethodPut, path: "/v1/session/destroy/" + l.id, limit: maxFlagBytes})
	if err != nil {
		return err
	}
	_, err = a.flag()
	return err
}
