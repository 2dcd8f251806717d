package platform

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/input"
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
	// Checks is read apart: it is a list of healthCheck.
	Checks json.RawMessage
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
	items, err := input.Elements(a.body)
	if err != nil {
		return nil, 0, wrapUnavailable(err)
	}
	listings = make([]ListedInstance, 0, len(items))
	for _, item := range items {
		if l := parseListing(item); l.Name != "" {
			listings = append(listings, l)
		}
	}
	return listings, a.index, nil
}

// parseListing parses an item of the list, which another writer may have made. Without a name
// that can be read, it is no instance. Without checks that can be read, the instance counts as
// leaving, so that it gets no new work.
func parseListing(item []byte) (l ListedInstance) {
	var e serviceEntry
	var invalid *json.UnmarshalTypeError
	// The fields of other types than the invalid one are set.
	if err := json.Unmarshal(item, &e); err != nil && !errors.As(err, &invalid) {
		return ListedInstance{}
	}
	l = ListedInstance{Name: e.Node.Node, Address: e.address()}
	var checks []healthCheck
	if len(e.Checks) > 0 {
		l.Leaving = json.Unmarshal(e.Checks, &checks) != nil
	}
	for _, k := range checks {
		if isMaintenanceCheck(k.CheckID) && k.Status == criticalStatus {
			l.Leaving = true
		}
	}
	return l
}

// address returns the address of the service, or none without a valid port. It has that of the
// node if the service has none of its own, as the published API specifies.
func (e serviceEntry) address() string {
	host := e.Service.Address
	if host == "" {
		host = e.Node.Address
	}
	if port := e.Service.Port; port < 1 || port > math.MaxUint16 {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(e.Service.Port))
}

// isMaintenanceCheck reports whether a check marks a service or its node as being
// taken out of service. The identifier of the service follows after a colon.
func isMaintenanceCheck(check string) bool {
	kind, _, _ := strings.Cut(check, ":")
	return kind == "_service_maintenance" || kind == "_node_maintenance"
}
