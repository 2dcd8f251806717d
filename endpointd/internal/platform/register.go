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

// callTimeout bounds one call on the platform.
const callTimeout = 3 * time.Second

// repeatEvery is how often the registration is repeated, so that it survives a
// restart of the platform.
const repeatEvery = 10 * time.Second

// retryEvery is how long a failed registration waits for the next try.
const retryEvery = time.Second

// Registration is an agent service registration of the Consul API.
type Registration struct {
	ID      string            `json:"ID"`
	Name    string            `json:"Name"`
	Address string            `json:"Address"`
	Port    int               `json:"Port"`
	Tags    []string          `json:"Tags"`
	Meta    map[string]string `json:"Meta"`
}

// NewRegistration describes an endpoint that listens at an address.
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

// Keep registers the endpoint again and again until ctx ends.
func Keep(ctx context.Context, platformURL string, r Registration) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for {
			wait := repeatEvery
			if err := register(ctx, platformURL, r); err != nil && ctx.Err() == nil {
				log.WithError(err).Warn("not registered at the platform")
				wait = retryEvery
			}
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				ended <- nil
				return
			}
		}
	}()
	return ended
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
