package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	// endpointService is the name that endpoints have in the platform's list.
	endpointService = "endpoint"
	// criticalStatus is the status of a check that fails.
	criticalStatus = "critical"
)

// serviceEntry is a listed instance in the service's JSON form.
type serviceEntry struct {
	Node struct {
		Node    string
		Address string
	}
	Service struct {
		Address string
		Port    int
	}
	Checks []healthCheck
}

type healthCheck struct {
	CheckID string
	Status  string
}

// Listings returns the live and leaving instances of a data centre.
func (c *Client) Listings(ctx context.Context, dataCentre string) (listings []Listing, err error) {
	listings, _, err = c.WaitListings(ctx, dataCentre, 0, time.Time{})
	return listings, err
}

// WaitListings returns the listings once the list's index is above after, or
// when the deadline passes; after 0 returns at once.
func (c *Client) WaitListings(ctx context.Context, dataCentre string, after int64, until time.Time) (listings []Listing, index int64, err error) {
	defer annotate(&err, "list instances of", dataCentre)
	q := url.Values{"dc": {dataCentre}}
	extra := waitQuery(q, after, until)
	a, err := c.do(ctx, call{
		method: http.MethodGet,
		path:   "/v1/health/service/" + endpointService,
		query:  q,
		limit:  maxListBytes,
		extra:  extra,
	})
	if err != nil {
		return nil, 0, err
	}
	if a.status != http.StatusOK {
		return nil, 0, a.unexpected()
	}
	var found []serviceEntry
	if err = json.Unmarshal(a.body, &found); err != nil {
		return nil, 0, unavailable(err)
	}
	listings = make([]Listing, 0, len(found))
	for _, e := range found {
		listings = append(listings, e.listing())
	}
	return listings, a.index, nil
}

// listing uses the node's address when the service has none of its own, as the
// published API says.
func (e serviceEntry) listing() (l Listing) {
	l.Name = e.Node.Node
	host := e.Service.Address
	if host == "" {
		host = e.Node.Address
	}
	l.Address = net.JoinHostPort(host, strconv.Itoa(e.Service.Port))
	for _, k := range e.Checks {
		if isMaintenance(k.CheckID) && k.Status == criticalStatus {
			l.Leaving = true
		}
	}
	return l
}

// isMaintenance recognises the checks by which the published service shows that
// a service or its node is to go; the service's ID follows after a colon.
func isMaintenance(check string) bool {
	kind, _, _ := strings.Cut(check, ":")
	return kind == "_service_maintenance" || kind == "_node_maintenance"
}
