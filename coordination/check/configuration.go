package check

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/coordination/job"
	"github.com/azurepoint/azurepoint/coordination/occupancy"
	"github.com/azurepoint/azurepoint/coordination/organisation"
)

// Severity is whether a fault keeps a configuration from being used.
type Severity string

// Severities of faults.
const (
	// Error marks a configuration that does not take effect as written.
	Error Severity = "error"
	// Warning marks an entry that is allowed and unlikely to be meant.
	Warning Severity = "warning"
)

// Fault is one fault of a configuration file.
type Fault struct {
	Severity Severity `json:"severity"`
	Line     int      `json:"line"`
	// Key is the path of the entry, such as organisations[3].limit.cpu.
	Key  string `json:"key"`
	Text string `json:"text"`
}

// Queue is a queue of a configuration.
type Queue struct {
	Name, Host, Prefix, Pool string
	AllowAnonymous           bool
	Objective                job.Objective
	// Task is the size of the queue's usual task, and Gang how many start together.
	Task job.Capacity
	Gang int

	place *value
}

// Pool is a pool of a configuration.
type Pool struct {
	Name                    string
	EnforcesCapacity, Spare bool
	// Capacity is what all its endpoints have together; zero if it is not given.
	Capacity job.Capacity

	place *value
}

// Organisation is an organisation of a configuration.
type Organisation struct {
	Terms organisation.Terms
	Keys  []string

	place *value
}

// Callers are the limits of callers; zero values mean the defaults of the entries.
type Callers struct {
	HeadBytes, BodyBytes                 int
	HeadTimeoutMillis, IdleTimeoutMillis int
}

// String returns the limits in the form of messages.
func (c Callers) String() string {
	return fmt.Sprintf("heads of %d bytes in %d ms, bodies of %d bytes, idle for %d ms", c.HeadBytes, c.HeadTimeoutMillis, c.BodyBytes, c.IdleTimeoutMillis)
}

// Configuration is a configuration file.
type Configuration struct {
	Version       int
	Queues        []Queue
	Pools         []Pool
	Organisations []Organisation
	Callers       Callers

	place *value
}

// Parse reads a configuration file and returns all its faults of form. The error means that the
// file is no JSON at all.
func Parse(text []byte) (c *Configuration, faults []Fault, err error) {
	d := &document{source: text}
	root, err := d.parse()
	if err != nil {
		return nil, nil, errors.Wrap(err, "check")
	}
	c = &Configuration{place: root}
	if !d.object(root, "version", "queues", "pools", "organisations", "callers") {
		return c, d.faults, nil
	}
	c.Version = d.integer(root, "version")
	c.Callers = d.callers(root)
	for _, v := range d.list(root, "queues") {
		if d.object(v, "name", "host", "prefix", "pool", "allowAnonymous", "priority", "maxAttempts", "stretch", "targetMillis", "task") {
			c.Queues = append(c.Queues, d.queue(v))
		}
	}
	for _, v := range d.list(root, "pools") {
		if d.object(v, "name", "enforcesCapacity", "spare", "capacity") {
			c.Pools = append(c.Pools, Pool{
				Name: d.text(v, "name"), EnforcesCapacity: d.flag(v, "enforcesCapacity"), Spare: d.flag(v, "spare"),
				Capacity: d.capacity(v, "capacity"), place: v,
			})
		}
	}
	for _, v := range d.list(root, "organisations") {
		if d.object(v, "name", "keys", "weight", "limit") {
			c.Organisations = append(c.Organisations, d.organisation(v))
		}
	}
	return c, d.faults, nil
}

// callers returns the limits of callers and reports those that entries replace by the nearest allowed one.
func (d *document) callers(root *value) (c Callers) {
	v := root.fields["callers"]
	if v == nil || !d.object(v, "headBytes", "bodyBytes", "headTimeoutMillis", "idleTimeoutMillis") {
		return Callers{}
	}
	const minMillis, maxMillis = int(occupancy.MinTimeout / time.Millisecond), int(occupancy.MaxTimeout / time.Millisecond)
	return Callers{
		HeadBytes:         d.bounded(v, "headBytes", occupancy.MinHeadBytes, occupancy.MaxHeadBytes),
		BodyBytes:         d.bounded(v, "bodyBytes", occupancy.MinBodyBytes, occupancy.MaxBodyBytes),
		HeadTimeoutMillis: d.bounded(v, "headTimeoutMillis", minMillis, maxMillis),
		IdleTimeoutMillis: d.bounded(v, "idleTimeoutMillis", minMillis, maxMillis),
	}
}

// bounded returns the whole number of a field, which has to be in a range if it is there.
func (d *document) bounded(v *value, name string, lowest, highest int) (number int) {
	field := v.fields[name]
	if number = d.integer(v, name); field != nil && (number < lowest || number > highest) {
		d.reportf(field, Error, "is outside %d to %d", lowest, highest)
	}
	return number
}

func (d *document) queue(v *value) (q Queue) {
	q = Queue{
		Name: d.text(v, "name"), Host: d.text(v, "host"), Prefix: d.text(v, "prefix"), Pool: d.text(v, "pool"),
		AllowAnonymous: d.flag(v, "allowAnonymous"), Task: d.capacity(v, "task", "gang"), place: v,
		Objective: job.Objective{
			Priority: d.integer(v, "priority"), MaxAttempts: d.integer(v, "maxAttempts"), Stretch: d.number(v, "stretch"),
			TargetMillis: int64(d.integer(v, "targetMillis")),
		},
	}
	if task := v.fields["task"]; task != nil && task.fields != nil {
		q.Gang = d.integer(task, "gang")
	}
	return q
}

func (d *document) organisation(v *value) (o Organisation) {
	o = Organisation{place: v, Terms: organisation.Terms{Name: d.text(v, "name"), Weight: d.number(v, "weight"), Limit: d.capacity(v, "limit")}}
	for _, key := range d.list(v, "keys") {
		text, valid := key.scalar.(string)
		if !valid || text == "" {
			d.reportf(key, Error, "is not a key")
			continue
		}
		o.Keys = append(o.Keys, text)
	}
	return o
}

func (d *document) capacity(v *value, name string, others ...string) (c job.Capacity) {
	field := v.fields[name]
	if field == nil || !d.object(field, append(others, "cpu", "memoryMb", "gpu")...) {
		return job.Capacity{}
	}
	return job.Capacity{CPU: d.integer(field, "cpu"), MemoryMB: d.integer(field, "memoryMb"), GPU: d.integer(field, "gpu")}
}
