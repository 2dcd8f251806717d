package queue

import (
	"slices"
	"strings"
	"time"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/organisation"
)

// Queue accepts the jobs of requests with its host and path prefix, and runs them in
// a pool.
type Queue struct {
	Name string
	// Host and Prefix select the requests of the queue.
	Host   string
	Prefix string
	Pool   string
	// AllowAnonymous reports whether requests need no key of an organisation.
	AllowAnonymous bool
	// Advised reports whether a policy service selects the endpoints that may run a
	// step.
	Advised bool
	// AdviceDecideMillis and AdviceEachMillis describe how long an answer of the
	// policy service takes.
	AdviceDecideMillis, AdviceEachMillis int64

	job.Objective
}

// Pool is a group of endpoints.
type Pool struct {
	Name string
	// EnforcesCapacity reports whether the endpoints reject tasks that exceed their capacity.
	EnforcesCapacity bool
	// Spare reports whether the pool's instances are powered off and cost nothing.
	Spare bool
}

// Organisation is an organisation whose callers identify themselves by one of its keys.
type Organisation struct {
	organisation.Terms

	Keys []string
}

// Limits are the operators' limits of callers; zero values mean that they have set none.
type Limits struct {
	// HeadBytes and BodyBytes are the sizes of the head and the body of a request.
	HeadBytes, BodyBytes int64
	// HeadTimeout is how long a head may take, and IdleTimeout how long a connection may be without a request.
	HeadTimeout, IdleTimeout time.Duration
}

// Configuration is one version of the operators' queues, pools and organisations.
type Configuration struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	// Organisations is empty if the deployment has none; requests then need no key.
	Organisations []Organisation
	Limits        Limits
}

// QueueFor returns the queue of the host with the longest prefix of the path.
func (c *Configuration) QueueFor(host, path string) (q Queue, found bool) {
	host, _, _ = strings.Cut(host, ":")
	for i := range c.Queues {
		candidate := &c.Queues[i]
		if candidate.Host == host && strings.HasPrefix(path, candidate.Prefix) && (!found || len(candidate.Prefix) > len(q.Prefix)) {
			q, found = *candidate, true
		}
	}
	return q, found
}

// Pool returns the pool with a name.
func (c *Configuration) Pool(name string) (p Pool, found bool) {
	i := slices.IndexFunc(c.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return c.Pools[i], true
}
