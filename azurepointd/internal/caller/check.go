package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/azurepoint/azurepoint/api/callerapi"
	"github.com/azurepoint/azurepoint/coordination/register"
)

const (
	// MaxDeadline limits how far in the future a deadline may be. Records are
	// kept in memory until the deadline, so callers have to split longer work.
	MaxDeadline = time.Hour
	// MaxPayloadBytes limits the payload in bytes; the schema's maxLength only
	// limits its characters.
	MaxPayloadBytes = 65536
)

// checkKey parses a key and refuses one that no entry can have issued, or that
// expired so long ago that its record is no longer kept.
func (h *Handler) checkKey(text string, now time.Time) (k register.Key, err error) {
	if text == "" {
		return register.Key{}, refusef(http.StatusBadRequest, "key", "key: missing")
	}
	k, err = register.Parse(text)
	if err != nil {
		return register.Key{}, refusef(http.StatusBadRequest, "key", "key: %s", strings.TrimPrefix(err.Error(), "register: "))
	}
	if k.ExpiresAt.After(now.Add(max(DefaultKeyLifetime, h.keyLifetime()) + h.clockError())) {
		return register.Key{}, refusef(http.StatusBadRequest, "key", "key: expires later than any issued key")
	}
	if now.After(k.ExpiresAt.Add(register.RetentionMargin)) {
		return register.Key{}, refusef(http.StatusGone, "key",
			"key: expired at %s; whether an earlier request with it ran is no longer known", formatTime(k.ExpiresAt))
	}
	return k, nil
}

// checkSubmission refuses a submission that would have been refused at any earlier
// time too, so no earlier copy of the request can have been accepted.
func (h *Handler) checkSubmission(k register.Key, s *callerapi.Submission, now time.Time) (err error) {
	switch {
	case s.Deadline.After(k.ExpiresAt):
		return refusef(http.StatusBadRequest, "deadline", "deadline: %s is after the key's expiry at %s", formatTime(s.Deadline), formatTime(k.ExpiresAt))
	case s.Deadline.After(now.Add(MaxDeadline + h.clockError())):
		return refusef(http.StatusBadRequest, "deadline", "deadline: %s is more than %s ahead", formatTime(s.Deadline), MaxDeadline)
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

// checkAdmission returns a refusal for conditions that depend on the time or the
// configuration: an earlier copy of the request may have been accepted before they
// changed. It returns nil if the request may start.
func (h *Handler) checkAdmission(k register.Key, s *callerapi.Submission, now time.Time) (refusal error) {
	state := h.Fleet.State()
	_, memberExists := state.Members[s.Member]
	_, poolExists := state.Pools[s.Pool]
	switch {
	case k.Expired(now):
		return refusef(http.StatusBadRequest, "key", "key: expired at %s", formatTime(k.ExpiresAt))
	case !now.Before(s.Deadline):
		return refusef(http.StatusBadRequest, "deadline", "deadline: %s has passed; the key cannot be used again", formatTime(s.Deadline))
	case !memberExists:
		return refusef(http.StatusBadRequest, "member", "member: %q does not exist; the key cannot be used again", s.Member)
	case !poolExists:
		return refusef(http.StatusBadRequest, "pool", "pool: %q does not exist; the key cannot be used again", s.Pool)
	}
	return nil
}

func formatTime(t time.Time) string {
	return t.UTC().Format(time.RFC3339Nano)
}
