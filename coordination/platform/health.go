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
	// endpointService is the service name of endpoints in the platform's list.
	endpointService = "endpoint"
	// criticalStatus is the status of a failing check.
	criticalStatus = "critical"
)

// serviceEntry is a listed instance in the JSON form of the service.
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

// ListInstances returns the live and leaving instances of a data centre.
func (c *Client) ListInstances(ctx context.Context, dataCentre string) (listings []ListedInstance, err error) {
	listings, _, err = c.WaitInstances(ctx, dataCentre, 0, time.Time{})
	return listings, err
}

// WaitInstances returns the listings once the index of the list is above after, or
// when the deadline passes. It returns at once if after is 0.
func (c *Client) WaitInstances(ctx context.Context, dataCentre string, after int64, until time.Time) (listings []ListedInstance, index int64, err error) {
	defer wrapError(&err, "list instances of", dataCentre)
	q := url.Values{"dc": {dataCentre}}
	extra := setBlockingQuery(q, after, until)
	a, err := c.do(ctx, request{
		method:       http.MethodGet,
		path:         "/v1/health/service/" + endpointService,
		query:        q,
		maxBytes:     maxListResponseBytes,
		extraTimeout: extra,
	})
	if err != nil {
		return nil, 0, err
	}
	if a.status != http.StatusOK {
		return nil, 0, a.statusError()
	}
	var found []serviceEntry
	if err = json.Unmarshal(a.body, &found); err != nil {
		return nil, 0, wrapUnavailable(err)
	}
	listings = make([]ListedInstance, 0, len(found))
	for _, e := range found {
		listings = append(listings, e.toListing())
	}
	return listings, a.index, nil
}

// toListing uses the address of the node if the service has none of its own, as the
// published API specifies.
func (e serviceEntry) toListing() (l ListedInstance) {
	l.Name = e.Node.Node
	host := e.Service.Address
	if host == "" {
		host = e.Node.Address
	}
	l.Address = net.JoinHostPort(host, strconv.Itoa(e.Service.Port))
	for _, k := range e.Checks {
		if isMaintenanceCheck(k.CheckID) && k.Status == criticalStatus {
			l.Leaving = true
		}
	}
	return l
}

// isMaintenanceCheck reports whether a check marks a service or its node as being
// taken out of service. The identifier of the service follows after a colon.
func isMaintenanceCheck(check string) bool {
	kind, _, _ := strings.Cut(check, ":")
	return kind == "_service_maintenance" || kind == "_node_maintenance"
}
