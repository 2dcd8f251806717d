package endpoint

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Event is one start or end of a task at an endpoint.
type Event struct {
	Endpoint string    `json:"-"`
	Task     string    `json:"task"`
	Kind     string    `json:"kind"`
	At       time.Time `json:"at"`
	State    string    `json:"state"`
	Answer   string    `json:"answer"`
}

// Kinds of events and the state of a completed task, as the stand-in reports them.
const (
	Started   = "started"
	Ended     = "ended"
	StateDone = "done"
)

// History returns every start and end of a task at one endpoint, oldest first.
func History(ctx context.Context, name, address string) (events []Event, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "endpoint: history of %s", name)
		}
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/standin/history", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %s", response.Status)
	}
	if err = json.NewDecoder(response.Body).Decode(&events); err != nil {
		return nil, err
	}
	for i := range events {
		events[i].Endpoint = name
	}
	return events, nil
}
