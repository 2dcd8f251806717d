package peer

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/fault"
	"github.com/azurepoint/azurepoint/coordination/schedule"
	"github.com/azurepoint/azurepoint/entry/client"
)

// Paths of the calls of a handover, whose bodies are JSON.
const (
	mayTakeOverPath = "/handover/may"
	takeOverPath    = "/handover"
)

// handoverFactor is the memory that a handover takes for each byte of its longest message.
const handoverFactor = 4

// ErrTooLarge means that a handover does not fit in a message.
var ErrTooLarge = errors.New("peer: the handover is too large")

// Handover is sent by an owner that has stopped to the entry that takes over.
type Handover struct {
	From   string `json:"from"`
	Reason string `json:"reason"`
	// Term is the number of the owner's term, and Revision the revision of its key.
	Term     int64             `json:"term"`
	Revision int64             `json:"revision"`
	Known    schedule.Handover `json:"known"`
}

// HandoverReply is the answer to a handover.
type HandoverReply struct {
	// Taken is set if the entry has claimed the pools; otherwise Reason is why not.
	Taken  bool   `json:"taken"`
	Reason string `json:"reason,omitempty"`
	// Record is the stored value of the owner's key and Revision its revision.
	Record   []byte `json:"record,omitempty"`
	Revision int64  `json:"revision,omitempty"`
}

// readiness is the request and the answer before a handover.
type readiness struct {
	Revision int64  `json:"revision,omitempty"`
	May      bool   `json:"may,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// mayTakeOver answers whether this entry may take over.
func (h handler) mayTakeOver(w http.ResponseWriter, r *http.Request) {
	var q readiness
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reason, may := h.owner.MayTakeOver(r.Context(), q.Revision)
	reply(w, readiness{May: may, Reason: reason})
}

// takeOver makes this entry claim the pools.
func (h handler) takeOver(w http.ResponseWriter, r *http.Request) {
	if err := client.Hold(r.Context(), handoverFactor*MaxMessageBytes); err != nil {
		client.RefuseHold(w, r, err)
		return
	}
	message, err := decodeHandover(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, h.owner.TakeOver(r.Context(), message))
}

// reply writes an answer. A failed write only means that the caller has disconnected.
func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// encodeHandover returns a handover in compressed form: entries may be on slow links.
func encodeHandover(h Handover) (body []byte, err error) {
	plain, err := json.Marshal(&h)
	if err != nil {
		return nil, err
	}
	if len(plain) > MaxMessageBytes {
		return nil, ErrTooLarge
	}
	var compressed bytes.Buffer
	z, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err = z.Write(plain); err != nil {
		return nil, err
	}
	err = z.Close()
	return compressed.Bytes(), err
}

// decodeHandover reads what encodeHandover has written. A message that is cut off is an error,
// since a successor must not miss a run.
func decodeHandover(body io.Reader) (h Handover, err error) {
	z, err := gzip.NewReader(body)
	if err != nil {
		return Handover{}, err
	}
	plain, err := io.ReadAll(io.LimitReader(z, MaxMessageBytes+1))
	switch {
	case err != nil:
		return Handover{}, err
	case len(plain) > MaxMessageBytes:
		return Handover{}, ErrTooLarge
	}
	err = json.Unmarshal(plain, &h)
	return h, err
}

// MayTakeOver queries another entry whether it may take over from the owner whose key has a
// revision.
func (c *Client) MayTakeOver(ctx context.Context, address string, revision int64) (reason string, may bool, err error) {
	defer fault.Annotate(&err, "peer: ask for a takeover")
	body, err := json.Marshal(readiness{Revision: revision})
	if err != nil {
		return "", false, err
	}
	var r readiness
	err = c.call(ctx, address, mayTakeOverPath, body, &r)
	return r.Reason, r.May, err
}

// HandOver sends another entry what it needs to take over, and returns once it has claimed the
// pools or has refused.
func (c *Client) HandOver(ctx context.Context, address string, h Handover) (r HandoverReply, err error) {
	defer fault.Annotate(&err, "peer: hand over")
	body, err := encodeHandover(h)
	if err != nil {
		return HandoverReply{}, err
	}
	err = c.call(ctx, address, takeOverPath, body, &r)
	return r, err
}

// call posts a body and decodes the answer.
func (c *Client) call(ctx context.Context, address, path string, body []byte, answer any) (err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, MaxMessageBytes)).Decode(answer)
}
