package check

import (
	"cmp"
	"slices"
	"strings"

	"github.com/azurepoint/azurepoint/coordination/job"
)

// Check returns the faults of meaning of a configuration, sorted by line: entries that can
// never match, and limits that contradict each other.
func Check(c *Configuration) (faults []Fault) {
	d := &document{}
	d.checkNames(c)
	for i := range c.Queues {
		d.checkQueue(c, i)
	}
	d.checkPools(c)
	holders := make(map[string]string)
	for i := range c.Organisations {
		d.checkKeys(&c.Organisations[i], holders)
		d.checkLimit(c, &c.Organisations[i])
	}
	d.checkWeights(c)
	if len(c.Organisations) > 0 && len(holders) == 0 && !slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.AllowAnonymous }) {
		d.reportf(c.place.fields["organisations"], Error, "no organisation has a key, and every queue needs one: no request is served")
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return d.faults
}

// at returns the field of a value, or the value itself if the field is missing.
func (v *value) at(names ...string) *value {
	for _, name := range names {
		if v.fields[name] == nil {
			return v
		}
		v = v.fields[name]
	}
	return v
}

// checkNames reports missing and repeated names.
func (d *document) checkNames(c *Configuration) {
	known := make(map[string]bool)
	check := func(kind, name string, place *value) {
		switch key := kind + " " + name; {
		case name == "":
			d.reportf(place, Error, "has no name")
		case known[key]:
			d.reportf(place.at("name"), Error, "there is another %s", key)
		default:
			known[key] = true
		}
	}
	for _, q := range c.Queues {
		check("queue", q.Name, q.place)
	}
	for _, p := range c.Pools {
		check("pool", p.Name, p.place)
	}
	for _, o := range c.Organisations {
		check("organisation", o.Terms.Name, o.place)
	}
}

// checkQueue reports a queue that no request reaches, or whose jobs cannot run.
func (d *document) checkQueue(c *Configuration, index int) {
	q := &c.Queues[index]
	switch {
	case q.Host == "" || strings.Contains(q.Host, ":"):
		d.reportf(q.place.at("host"), Error, "a request's host has a name and no port here: queue %s never matches", q.Name)
	case !strings.HasPrefix(q.Prefix, "/"):
		d.reportf(q.place.at("prefix"), Error, "does not begin with a slash: queue %s never matches", q.Name)
	}
	for i := range c.Queues[:index] {
		if other := &c.Queues[i]; other.Host == q.Host && other.Prefix == q.Prefix {
			d.reportf(q.place.at("prefix"), Error, "queue %s has the same host and prefix and comes first: queue %s never matches", other.Name, q.Name)
		}
	}
	pool := slices.IndexFunc(c.Pools, func(p Pool) bool { return p.Name == q.Pool })
	switch {
	case pool < 0:
		d.reportf(q.place.at("pool"), Error, "there is no pool %q: jobs of queue %s never run", q.Pool, q.Name)
	case c.Pools[pool].Spare:
		d.reportf(q.place.at("pool"), Error, "pool %s is spare and its instances are off: jobs of queue %s never run", q.Pool, q.Name)
	default:
		for _, r := range resources(c.Pools[pool].Capacity, q.Task.Times(max(q.Gang, 1))) {
			if r.limit > 0 && r.size > r.limit {
				d.reportf(q.place.at("task", r.name), Error, "tasks that start together take %d, and pool %s has %d: they never start", r.size, q.Pool, r.limit)
			}
		}
	}
	if q.Objective.Stretch > 0 && q.Objective.Stretch < 1 && q.Objective.TargetMillis == 0 {
		d.reportf(q.place.at("stretch"), Warning, "below 1 without targetMillis: every job of queue %s is late", q.Name)
	}
}

// checkPools reports pools without queues, and a second spare pool.
func (d *document) checkPools(c *Configuration) {
	spare := ""
	for _, p := range c.Pools {
		switch {
		case p.Spare && spare != "":
			d.reportf(p.place.at("spare"), Error, "pool %s is spare already, and there is one at most", spare)
		case p.Spare:
			spare = p.Name
		case !slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.Pool == p.Name }):
			d.reportf(p.place, Warning, "no queue uses pool %s, and its instances are on", p.Name)
		}
	}
}

// checkKeys reports keys that another organisation has.
func (d *document) checkKeys(o *Organisation, holders map[string]string) {
	for _, place := range o.place.at("keys").items {
		key, valid := place.scalar.(string)
		if !valid || key == "" {
			continue
		}
		switch holder, held := holders[key]; {
		case held && holder == o.Terms.Name:
			d.reportf(place, Warning, "organisation %s has the key twice", holder)
		case held:
			d.reportf(place, Error, "organisation %s has the same key: its callers cannot be distinguished from those of %s", holder, o.Terms.Name)
		default:
			holders[key] = o.Terms.Name
		}
	}
	if len(o.Keys) == 0 {
		d.reportf(o.place.at("keys"), Warning, "organisation %s has no key: it can submit no job", o.Terms.Name)
	}
}

// checkLimit reports a limit that admits no task, that admits no gang, or of which one resource
// is never reached because of another.
func (d *document) checkLimit(c *Configuration, o *Organisation) {
	var most job.Capacity
	sized, admitted := 0, 0
	for _, q := range c.Queues {
		if q.Task == (job.Capacity{}) {
			continue
		}
		sized++
		if o.Terms.Admit(q.Task) {
			admitted++
			if !o.Terms.Admit(q.Task.Times(max(q.Gang, 1))) {
				d.reportf(o.place.at("limit"), Error, "admits no gang of %d tasks of queue %s: its jobs are refused", q.Gang, q.Name)
			}
		}
		n := tasksWithin(o.Terms.Limit, q.Task)
		most = job.Capacity{CPU: max(most.CPU, n*q.Task.CPU), MemoryMB: max(most.MemoryMB, n*q.Task.MemoryMB), GPU: max(most.GPU, n*q.Task.GPU)}
	}
	if sized == 0 {
		return
	}
	if admitted == 0 {
		d.reportf(o.place.at("limit"), Error, "admits no task of any queue: organisation %s runs one task at a time, above its limit", o.Terms.Name)
		return
	}
	if sized < len(c.Queues) {
		return
	}
	for _, r := range resources(o.Terms.Limit, most) {
		if r.limit > 0 && r.size*2 < r.limit {
			d.reportf(o.place.at("limit", r.name), Warning, "contradicts the other limits of %s: they admit tasks that take %d at most", o.Terms.Name, r.size)
		}
	}
}

// checkWeights reports organisations without a weight among others with one.
func (d *document) checkWeights(c *Configuration) {
	weighted := slices.ContainsFunc(c.Organisations, func(o Organisation) bool { return o.Terms.Weight > 0 })
	for _, o := range c.Organisations {
		if weighted && o.Terms.Weight == 0 {
			d.reportf(o.place.at("weight"), Warning, "organisation %s has no weight: it gets the mean one of the others and has no rate", o.Terms.Name)
		}
	}
}

// resource is an amount of one resource beside its limit.
type resource struct {
	name        string
	limit, size int
}

// resources returns the resources of a limit and a size by the names of their keys.
func resources(limit, size job.Capacity) [3]resource {
	return [3]resource{{"cpu", limit.CPU, size.CPU}, {"memoryMb", limit.MemoryMB, size.MemoryMB}, {"gpu", limit.GPU, size.GPU}}
}

// maxTasks stands for any number of tasks.
const maxTasks = 1 << 20

// tasksWithin returns how many tasks of a size a limit admits.
func tasksWithin(limit, size job.Capacity) (n int) {
	n = maxTasks
	for _, r := range resources(limit, size) {
		if r.limit > 0 && r.size > 0 {
			n = min(n, r.limit/r.size)
		}
	}
	return n
}
