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

var errWrongSecret = errors.New("operator: wrong secret")

// HandleSecret checks the secret and then applies the rate limit. Calls with a
// wrong secret do not count towards the limit, so they cannot lock operators out.
func (h handler) HandleSecret(
	ctx context.Context, operation operatorapi.OperationName, s operatorapi.Secret,
) (next context.Context, err error) {
	if !sameSecret(h.Secret, s.Token) {
		h.apiMetrics.denied.Inc(1)
		if h.refusalLogLimiter.Allow() {
			event.OperatorCallRefused.Log(log.Fields{"operation": operation})
		}
		return ctx, errWrongSecret
	}
	if !h.callLimiter.Allow() {
		h.apiMetrics.limited.Inc(1)
		if h.refusalLogLimiter.Allow() {
			event.OperatorCallLimited.Log(log.Fields{"operation": operation})
		}
		return ctx, newStatusError(http.StatusTooManyRequests, "too many calls per second, try again later")
	}
	return ctx, nil
}

// sameSecret compares the hashes of both values in constant time, so that neither
// the content nor the length of the secret can be derived from the response time.
// An empty secret matches nothing.
func sameSecret(secret, token string) bool {
	want := sha256.Sum256([]byte(secret))
	got := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1 && secret != ""
}
