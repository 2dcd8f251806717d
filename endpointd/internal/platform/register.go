package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
)

// callTimeout limits one call to the platform.
const callTimeout = 3 * time.Second

// refreshInterval is the time between registrations. They are repeated so that the
// endpoint is listed again after a restart of the platform.
const refreshInterval = 10 * time.Second

// retryInterval is the time until a failed registration is retried.
const retryInterval = time.Second

// Registration is a service registration of the Consul agent API.
type Registration struct {
	ID      string            `json:"ID"`
	Name    string            `json:"Name"`
	Address string            `json:"Address"`
	Port    int               `json:"Port"`
	Tags    []string          `json:"Tags"`
	Meta    map[string]string `json:"Meta"`
}

// NewRegistration returns the registration of an endpoint that listens at the
// address.
func NewRegistration(name, dataCentre, address string, slots int) (r Registration, err error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return Registration{}, errors.Wrap(err, "platform: listen address")
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return Registration{}, errors.Wrap(err, "platform: listen port")
	}
	return Registration{
		ID:      name,
		Name:    "endpoint",
		Address: host,
		Port:    port,
		Tags:    []string{dataCentre},
		Meta:    map[string]string{"dataCentre": dataCentre, "slots": strconv.Itoa(slots)},
	}, nil
}

// KeepRegistered registers the endpoint at regular intervals until ctx ends.
func KeepRegistered(ctx context.Context, platformURL string, r Registration) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			wait := refreshInterval
			if err := register(ctx, platformURL, r); err != nil && ctx.Err() == nil {
				log.WithError(err).Warn("registration with the platform failed")
				wait = retryInterval
			}
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				done <- nil
				return
			}
		}
	}()
	return done
}

func register(ctx context.Context, platformURL string, r Registration) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "platform: register")
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := json.Marshal(r)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, platformURL+"/v1/agent/service/register", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %s", response.Status)
	}
	return nil
}
