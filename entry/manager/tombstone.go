package manager

import (
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/entry/store"
)

// TombstoneRetention is how long no job is created under the identifier of one that was cancelled before
// it was stored. The store executes a write without an answer seconds later, and repeated submissions
// arrive within seconds as well.
const TombstoneRetention = 2 * time.Minute

// TombstoneReply returns the reply to a submission of a job that was cancelled before it was stored.
func TombstoneReply() (r Reply) {
	return Reply{Outcome: Refused, RetryAfter: TombstoneRetention, Reason: "the job was cancelled before it was stored"}
}

// isTombstone reports whether a record is a tombstone of an organisation's job.
func isTombstone(item store.Item, organisation string) bool {
	r, err := decodeJob(item)
	return err == nil && r.IsTombstone() && job.MayBeSameJob(r.Organisation, organisation)
}
