package request

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/azurepoint/azurepoint/api/peerrpc"
	"github.com/azurepoint/azurepoint/coordination/register"
)

// Reasons of outcomes that the primary and the backup return to callers.
const (
	ReasonCancelled  = "cancelled"
	ReasonStopping   = "the entry is stopping"
	ReasonNotArrived = "no request with this key has arrived"
	ReasonSettled    = "settled without its home, which had not claimed it"
	ReasonNoClaim    = "the home is unreachable and the backup holds no claim; the request itself, sent again, is settled"
	ReasonSingleCopy = "the home is unreachable and keeps the only copy of claims"
)

func done(answer string) register.Outcome {
	return register.Outcome{State: register.Done, Answer: answer}
}

func notRun(reason string) register.Outcome {
	return register.Outcome{State: register.NotRun, Reason: reason}
}

func unknown(reason string) register.Outcome {
	return register.Outcome{State: register.Unknown, Reason: reason}
}

func pending(reason string) register.Outcome {
	return register.Outcome{State: register.Pending, Reason: reason}
}

func outcomeMessage(k register.Key, o register.Outcome) *peerrpc.Outcome {
	return &peerrpc.Outcome{Key: k.String(), State: string(o.State), Reason: o.Reason, Answer: o.Answer}
}

func outcomeFromMessage(m *peerrpc.Outcome) register.Outcome {
	return register.Outcome{State: register.State(m.GetState()), Reason: m.GetReason(), Answer: m.GetAnswer()}
}

// requestDigest hashes what defines a request. The deadline and the urgency are
// left out, because a caller may change them when it sends the request again.
func requestDigest(q *peerrpc.SubmitRequest) register.Digest {
	text := fmt.Sprintf("%q %q %t %d %d %q", q.GetMember(), q.GetPool(), q.GetRepeatable(), q.GetSlots(), q.GetRunMillis(), q.GetPayload())
	sum := sha256.Sum256([]byte(text))
	return register.Digest(sum[:16])
}

// parseKey parses a key received from another entry.
func parseKey(text string) (k register.Key, err error) {
	k, err = register.Parse(text)
	if err != nil {
		return register.Key{}, twirp.InvalidArgumentError("key", err.Error())
	}
	return k, nil
}

func timeFromMillis(unixMillis int64) time.Time {
	return time.UnixMilli(unixMillis)
}
