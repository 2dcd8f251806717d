package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/azurepoint/azurepoint/coordination/access"
	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/organisation"
	"github.com/azurepoint/azurepoint/coordination/retry"
	"github.com/azurepoint/azurepoint/entry/event"
	"github.com/azurepoint/azurepoint/entry/meter"
	"github.com/azurepoint/azurepoint/entry/queue"
)

const (
	// accessCheckInterval is how often the age of the view is checked for logs and metrics.
	accessCheckInterval = 100 * time.Millisecond
	// closedRetryDelay is the earliest time at which a caller may retry at an entry whose view
	// is too old: views are confirmed again within a second of the store's return.
	closedRetryDelay = time.Second
)

// inForce is a configuration with the indexes that requests need.
type inForce struct {
	*queue.Configuration

	// organisationByKey holds the name of the organisation of each key.
	organisationByKey map[string]string
	terms             []organisation.Terms
}

func newInForce(c *queue.Configuration) *inForce {
	f := &inForce{Configuration: c, organisationByKey: make(map[string]string)}
	for _, o := range c.Organisations {
		f.terms = append(f.terms, o.Terms)
		for _, key := range o.Keys {
			if key != "" {
				f.organisationByKey[key] = o.Name
			}
		}
	}
	return f
}

// Admission is the verdict of the configuration in force on a request.
type Admission struct {
	// Configured is false while no configuration is known, and Found if no queue has the
	// request's host and path.
	Configured, Found bool
	Queue             queue.Queue
	// Verdict is Allowed for a queue that needs no key.
	Verdict access.Verdict
	Caller  job.Caller
	// RetryAfter belongs to the verdict Unconfirmed.
	RetryAfter time.Duration
}

// Admit finds the queue of a request and the organisation of its key.
func (n *Node) Admit(host, path, key string) (a Admission) {
	// Read first: see access.Policy.Decide.
	freshness := n.view.Freshness(bootTime())
	policy := n.AccessPolicy()
	c := n.configuration.Load()
	if c == nil {
		return Admission{}
	}
	a.Configured = true
	a.Queue, a.Found = c.QueueFor(host, path)
	if !a.Found || !c.needsKeys(policy) {
		return a
	}
	a.Caller.Identified = true
	if a.Queue.AllowAnonymous {
		return a
	}
	name, known := c.organisationByKey[key]
	a.Verdict = policy.Decide(freshness, known)
	switch a.Verdict {
	case access.Allowed:
		a.Caller.Organisation = name
	case access.Unauthorised:
		meter.Count("access.unauthorised")
		if !event.KeyRefusedLimited.Allow() {
			return a
		}
		event.KeyRefused.Log(log.Fields{"queue": a.Queue.Name, "present": key != "", "version": c.Version})
	case access.Unconfirmed:
		a.RetryAfter = max(closedRetryDelay, n.Returns.After(n.storeReach.lostFor()))
		meter.Count("access.unconfirmed")
	}
	return a
}

// ConfigurationConfirmed records that a call which was sent at a time since boot has shown
// the configuration in force to be the newest.
func (n *Node) ConfigurationConfirmed(sentAt time.Duration) {
	n.view.Confirm(sentAt)
}

// ConfigurationFreshness returns how recent the view of the configuration is.
func (n *Node) ConfigurationFreshness() access.Freshness {
	return n.view.Freshness(bootTime())
}

// StoreReachable reports whether the last call to the store was answered.
func (n *Node) StoreReachable() bool {
	return !n.storeReach.lost()
}

// BootTime returns the time since the machine was booted, including suspensions.
func BootTime() time.Duration {
	return bootTime()
}

// SetAccessPolicy sets for how long a removed key may still be served.
func (n *Node) SetAccessPolicy(p access.Policy) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Access = p
}

// AccessPolicy returns for how long a removed key may still be served.
func (n *Node) AccessPolicy() access.Policy {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Access
}

// needsKeys reports whether requests need keys. Where the use of removed keys is bounded
// they do so also after the last organisation was removed.
func (f *inForce) needsKeys(p access.Policy) bool {
	return f != nil && (len(f.Organisations) > 0 || p.RevokeWithin > 0)
}

// accessClosed reports whether requests with keys are refused because the view is too old.
func (n *Node) accessClosed() bool {
	freshness, policy := n.view.Freshness(bootTime()), n.AccessPolicy()
	return n.configuration.Load().needsKeys(policy) && policy.TooOld(freshness)
}

// runAccess logs when the view of the keys becomes too old and when it is confirmed again.
func (n *Node) runAccess(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			if n.configuration.Load().needsKeys(n.AccessPolicy()) {
				n.checkAccess()
			}
			retry.Sleep(ctx, accessCheckInterval)
		}
		ended <- nil
	}()
	return ended
}

func (n *Node) checkAccess() {
	changed, closed, freshness := n.view.Transition(n.AccessPolicy(), bootTime())
	if !changed {
		return
	}
	fields := log.Fields{"ageMillis": freshness.Age.Milliseconds(), "confirmed": freshness.Confirmed, "version": n.configuration.Load().Version}
	if closed {
		meter.Count("access.closed")
		event.AccessClosed.Log(fields)
		return
	}
	event.AccessReopened.Log(fields)
}
