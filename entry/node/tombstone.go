package node

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/manager"
	"github.com/azurepoint/azurepoint/entry/meter"
	"github.com/azurepoint/azurepoint/entry/store"
)

// maxTombstoneAttempts bounds the transactions for one tombstone. Each further one replaces the tombstone
// of another cancellation of the same job.
const maxTombstoneAttempts = 3

// cancelInStore cancels a job without the owner: a stored one with a cancel mark for the owner, and one
// that is not stored with a tombstone, because a write that creates it may still be executed.
func (n *Node) cancelInStore(ctx context.Context, id string, caller job.Caller) (known bool, err error) {
	item, err := n.readJob(ctx, id)
	if err == nil && !holdsJob(item) {
		item, err = n.storeTombstone(ctx, id, caller.Organisation, item.Revision)
	}
	if err != nil || !holdsJob(item) {
		return false, err
	}
	if r, err := job.Decode(item.Value, item.Revision); err == nil && !caller.MaySee(r.Organisation) {
		return false, nil
	}
	if err = n.commit(ctx, store.Transaction{Puts: []store.Put{{Key: manager.CancelPrefix + id, Value: []byte(n.Name)}}}); err != nil {
		return false, err
	}
	event.JobCancelled.Log(log.Fields{"job": id, "by": "store"})
	return true, nil
}

// readJob returns the item of a job's key; its revision is 0 if the key does not exist.
func (n *Node) readJob(ctx context.Context, id string) (item store.Item, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, _, err = n.Store.Get(ctx, manager.JobKey(id))
	return item, err
}

// holdsJob reports whether the item of a job's key is the record of a job, also of one that cannot be read.
func holdsJob(item store.Item) bool {
	if item.Revision == 0 {
		return false
	}
	r, err := job.Decode(item.Value, item.Revision)
	return err != nil || !r.IsTombstone()
}

// storeTombstone stores a tombstone in place of a revision of the job's key: 0, or the one of an earlier
// tombstone, which would end before writes that were sent since. It returns the item of the key if a job
// was stored meanwhile.
func (n *Node) storeTombstone(ctx context.Context, id, organisation string, revision int64) (item store.Item, err error) {
	tombstone := job.NewTombstone(id, organisation, time.Now())
	value, err := tombstone.Encode()
	if err != nil {
		return store.Item{}, err
	}
	lease, err := n.grant(ctx, manager.TombstoneRetention)
	if err != nil {
		return store.Item{}, err
	}
	key := manager.JobKey(id)
	for range maxTombstoneAttempts {
		err = n.commit(ctx, store.Transaction{
			Conditions: []store.Condition{{Key: key, Revision: revision}}, Puts: []store.Put{{Key: key, Value: value, Lease: lease}},
		})
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		if item = conflict.Current[key]; holdsJob(item) {
			return item, nil
		}
		revision = item.Revision
	}
	if err == nil {
		meter.Count("cancellations.tombstones")
		event.JobCancelled.Log(log.Fields{"job": id, "by": "tombstone"})
	}
	return store.Item{}, err
}

func (n *Node) grant(ctx context.Context, lifetime time.Duration) (lease int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return n.Store.Grant(ctx, lifetime)
}
