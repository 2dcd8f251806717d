package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/operatorapi"
	"github.com/azurepoint/azurepoint/azurepointd/internal/event"
)

var errDenied = errors.New("operator: wrong secret")

// HandleSecret compares the secret and then counts the call against the rate;
// calls with a wrong secret do not count, so that they cannot shut operators out.
func (h handler) HandleSecret(
	ctx context.Context, operation operatorapi.OperationName, s operatorapi.Secret,
) (next context.Context, err error) {
	if !sameSecret(h.Secret, s.Token) {
		h.counts.denied.Inc(1)
		if h.refusals.Allow() {
			event.OperatorRefused.Log(log.Fields{"operation": operation})
		}
		return ctx, errDenied
	}
	if !h.calls.Allow() {
		h.counts.limited.Inc(1)
		if h.refusals.Allow() {
			event.OperatorLimited.Log(log.Fields{"operation": operation})
		}
		return ctx, failure(http.StatusTooManyRequests, "too many calls a second, try again later")
	}
	return ctx, nil
}

// sameSecret takes the same time for every token of a length; the hashes hide
// the length of the secret as well.
func sameSecret(secret, token string) bool {
	want := sha256.Sum256([]byte(secret))
	got := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1 && secret != ""
}
