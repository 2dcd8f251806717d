package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/azurepoint/azurepoint/api/callerapi"
	"github.com/azurepoint/azurepoint/coordination/register"
)

const (
	// MaxDeadline is how far ahead a deadline may be; longer work is for the
	// callers to split, because its records are held in memory for as long.
	MaxDeadline = time.Hour
	// MaxPayloadBytes is the largest payload; the API counts characters.
	MaxPayloadBytes = 65536
)

// checkKey reads a key and refuses one that no entry can have issued, or that
// expired so long ago that nothing is known of it.
func (h *Handler) checkKey(text string, now time.Time) (k register.Key, err error) {
	if text == "" {
		return register.Key{}, refusef(http.StatusBadRequest, "key", "key: missing")
	}
	k, err = register.Parse(text)
	if err != nil {
		return register.Key{}, refusef(http.StatusBadRequest, "key", "key: %s", strings.TrimPrefix(err.Error(), "register: "))
	}
	if k.ExpiresAt.After(now.Add(max(KeyLifetime, h.keyLifetime()) + h.clockError())) {
		return register.Key{}, refusef(http.StatusBadRequest, "key", "key: expires later than any key that was issued")
	}
	if now.After(k.ExpiresAt.Add(register.Margin)) {
		return register.Key{}, refusef(http.StatusGone, "key",
			"key: expired at %s; whether an earlier request with it ran is no longer known", stamp(k.ExpiresAt))
	}
	return k, nil
}

// checkContent refuses what would have been refused at any earlier time too, so
// that no copy of the request can have been taken.
func (h *Handler) checkContent(k register.Key, s *callerapi.Submission, now time.Time) (err error) {
	switch {
	case s.Deadline.After(k.ExpiresAt):
		return refusef(http.StatusBadRequest, "deadline", "deadline: %s is after the key's expiry at %s", stamp(s.Deadline), stamp(k.ExpiresAt))
	case s.Deadline.After(now.Add(MaxDeadline + h.clockError())):
		return refusef(http.StatusBadRequest, "deadline", "deadline: %s is more than %s ahead", stamp(s.Deadline), MaxDeadline)
	case s.Member == "":
		return refusef(http.StatusBadRequest, "member", "member: missing")
	case s.Pool == "":
		return refusef(http.StatusBadRequest, "pool", "pool: missing")
	case int64(s.RunMillis.Or(0)) > MaxDeadline.Milliseconds():
		return refusef(http.StatusBadRequest, "runMillis", "runMillis: more than the longest deadline of %s", MaxDeadline)
	case len(s.Payload.Or("")) > MaxPayloadBytes:
		return refusef(http.StatusBadRequest, "payload", "payload: %d bytes long, the limit is %d", len(s.Payload.Value), MaxPayloadBytes)
	}
	return nil
}

// checkNow returns the refusal of what may have been in order earlier; nil
// means that the request may begin.
func (h *Handler) checkNow(k register.Key, s *callerapi.Submission, now time.Time) (refusal error) {
	state := h.Fleet.State()
	_, member := state.Members[s.Member]
	_, pool := state.Pools[s.Pool]
	switch {
	case k.Expired(now):
		return refusef(http.StatusBadRequest, "key", "key: expired at %s", stamp(k.ExpiresAt))
	case !now.Before(s.Deadline):
		return refusef(http.StatusBadRequest, "deadline", "deadline: %s has passed; the key cannot be used again", stamp(s.Deadline))
	case !member:
		return refusef(http.StatusBadRequest, "member", "member: %q does not exist; the key cannot be used again", s.Member)
	case !pool:
		return refusef(http.StatusBadRequest, "pool", "pool: %q does not exist; the key cannot be used again", s.Pool)
	}
	return nil
}

func stamp(t time.Time) string {
	return t.UTC().Format(time.RFC3339Nano)
}
