package queue

import (
	"slices"
	"strings"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Queue is a way into the fleet for one kind of job.
type Queue struct {
	Name string
	// Host and Prefix select the queue of a request.
	Host   string
	Prefix string
	Pool   string
	// Advised tells that a policy service names the endpoints that may run a step.
	Advised bool
	// AdviceDecideMillis and AdviceEachMillis tell how long an answer of the policy
	// service takes.
	AdviceDecideMillis, AdviceEachMillis int64

	job.Objective
}

// Pool is a group of endpoints.
type Pool struct {
	Name string
	// Guards tells that the endpoints refuse tasks that do not fit.
	Guards bool
	// Spare tells that the pool's instances are off and cost nothing.
	Spare bool
}

// Configuration is one version of what operators have set.
type Configuration struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
}

// Find returns the queue with the longest prefix of the path on the host.
func (c *Configuration) Find(host, path string) (q Queue, found bool) {
	host, _, _ = strings.Cut(host, ":")
	for i := range c.Queues {
		candidate := &c.Queues[i]
		if candidate.Host == host && strings.HasPrefix(path, candidate.Prefix) && (!found || len(candidate.Prefix) > len(q.Prefix)) {
			q, found = *candidate, true
		}
	}
	return q, found
}

// Pool returns a pool by its name.
func (c *Configuration) Pool(name string) (p Pool, found bool) {
	i := slices.IndexFunc(c.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return c.Pools[i], true
}
