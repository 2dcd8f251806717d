package operator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/azurepoint/azurepoint/api/operatorapi"
	"github.com/azurepoint/azurepoint/coordination/command"
	"github.com/azurepoint/azurepoint/coordination/fleet"
	"github.com/azurepoint/azurepoint/coordination/membership"
)

// newTable returns a table without rows.
func newTable(title string, columns ...string) operatorapi.Table {
	return operatorapi.Table{Title: title, Columns: columns, Rows: []operatorapi.Row{}}
}

// add appends a row with one cell for each column.
func add(t *operatorapi.Table, cells ...any) {
	row := operatorapi.Row{Cells: make([]string, 0, len(cells))}
	for _, c := range cells {
		row.Cells = append(row.Cells, fmt.Sprint(c))
	}
	t.Rows = append(t.Rows, row)
}

// tables answers a query; an error says which name does not exist.
func (h handler) tables(s *fleet.State, q command.Query) (tables []operatorapi.Table, err error) {
	switch q := q.(type) {
	case command.ShowList:
		return h.list(s, q.List), nil
	case command.ShowInstances:
		return single(h.instances(s, string(q.Pool), string(q.DataCentre)))
	case command.ShowMovable:
		return single(movable(s, string(q.Pool)))
	case command.ShowDrainable:
		return single(drainable(s, string(q.Wave)))
	case command.ShowChange:
		return []operatorapi.Table{h.changeTable(s, string(q.ID))}, nil
	}
	return nil, errors.Errorf("operator: no answer for %q", q)
}

func single(t operatorapi.Table, err error) ([]operatorapi.Table, error) {
	return []operatorapi.Table{t}, err
}

func (h handler) list(s *fleet.State, l command.List) (tables []operatorapi.Table) {
	switch l {
	case command.Pools:
		return []operatorapi.Table{pools(s)}
	case command.Members:
		return []operatorapi.Table{members(s)}
	case command.Waves:
		return []operatorapi.Table{waves(s)}
	case command.Versions:
		return h.versions(s)
	default:
		return usageTables(s, h.Usage.Usage())
	}
}

func pools(s *fleet.State) (t operatorapi.Table) {
	parts := byPool(s)
	t = newTable("pools", "pool", "budget", "unavailable", "instances", "serving", "draining", "releasing",
		"failed", "slots", "spare")
	for _, name := range sorted(s.Pools) {
		p, part := s.Pools[name], parts[name]
		c := countPool(part.Instances)
		unavailable := part.Unavailable(name)
		add(&t, name, p.Budget, unavailable, len(part.Instances), len(part.Instances)-unavailable, c.draining,
			c.releasing, c.failed, c.slots, yes(p.Spare))
	}
	return t
}

// poolCount is what the instances of a pool add up to; a failed instance counts
// in its phase as well.
type poolCount struct {
	draining, releasing, failed, slots int
}

func countPool(instances map[string]fleet.Instance) (c poolCount) {
	for _, i := range instances {
		c.slots += i.Slots
		if i.Failed {
			c.failed++
		}
		switch i.Phase {
		case fleet.Draining:
			c.draining++
		case fleet.Releasing:
			c.releasing++
		case fleet.Serving:
		}
	}
	return c
}

func members(s *fleet.State) (t operatorapi.Table) {
	t = newTable("members", "member", "cap", "share", "minimum")
	for _, name := range sorted(s.Members) {
		m := s.Members[name]
		add(&t, name, m.Cap, max(1, m.Share), m.Minimum)
	}
	return t
}

func (h handler) instances(s *fleet.State, pool, dataCentre string) (t operatorapi.Table, err error) {
	if err = requirePool(s, pool); err != nil {
		return t, err
	}
	t = newTable("instances", "instance", "pool", "phase", "rebooting", "failed", "leaving", "nextPool", "wave",
		"maintained", "dataCentre", "rack", "address", "slots", "since")
	for _, name := range sorted(s.Instances) {
		i := s.Instances[name]
		if (pool != "" && i.Pool != pool) || (dataCentre != "" && i.DataCentre != dataCentre) {
			continue
		}
		add(&t, name, i.Pool, i.Phase, yes(i.Rebooting), yes(i.Failed), yes(h.Fleet.Leaving(name)), i.NextPool, i.Wave,
			i.Maintained, i.DataCentre, i.Rack, i.Address, i.Slots, i.Since)
	}
	return t, nil
}

func requirePool(s *fleet.State, pool string) (err error) {
	if _, found := s.Pools[pool]; !found && pool != "" {
		return errors.Errorf("pool %q does not exist", pool)
	}
	return nil
}

func waves(s *fleet.State) (t operatorapi.Table) {
	t = newTable("waves", "wave", "state", "pools", "instances", "done", "draining", "until", "reason")
	for _, name := range sorted(s.Waves) {
		w := s.Waves[name]
		c := countWave(s, w)
		add(&t, name, w.State, strings.Join(w.Pools, ", "), c.instances, c.done, c.draining, moment(w.Until), w.Reason)
	}
	return t
}

// waveCount is how far a wave is with the instances of its pools.
type waveCount struct {
	instances, done, draining int
}

func countWave(s *fleet.State, w fleet.Wave) (c waveCount) {
	for _, i := range s.Instances {
		if !slices.Contains(w.Pools, i.Pool) {
			continue
		}
		c.instances++
		if i.Maintained == w.Name {
			c.done++
		}
		if i.Phase == fleet.Draining && i.Wave == w.Name {
			c.draining++
		}
	}
	return c
}

// versions lists the entries, and for each data centre the lowest and highest
// version; the own version is the one in force now, not the last one sent.
func (h handler) versions(s *fleet.State) (tables []operatorapi.Table) {
	entries := h.entries(s)
	newest := slices.MaxFunc(entries, byVersion).Version
	all := newTable("versions by entry", "dataCentre", "entry", "incarnation", "version", "behind", "leaving")
	for _, e := range entries {
		add(&all, e.DataCentre, e.Name, e.Incarnation, e.Version, newest-e.Version, yes(e.Leaving))
	}
	return []operatorapi.Table{versionsByDataCentre(entries), all}
}

// versionsByDataCentre takes the entries in the order of their data centres.
func versionsByDataCentre(entries []membership.Entry) (t operatorapi.Table) {
	t = newTable("versions by data centre", "dataCentre", "entries", "lowest", "highest")
	for len(entries) > 0 {
		name := entries[0].DataCentre
		elsewhere := func(e membership.Entry) bool { return e.DataCentre != name }
		n := slices.IndexFunc(entries, elsewhere)
		if n < 0 {
			n = len(entries)
		}
		lowest, highest := slices.MinFunc(entries[:n], byVersion), slices.MaxFunc(entries[:n], byVersion)
		add(&t, name, n, lowest.Version, highest.Version)
		entries = entries[n:]
	}
	return t
}

func byVersion(a, b membership.Entry) int {
	return cmp.Compare(a.Version, b.Version)
}

// entries returns the known live entries by data centre and name.
func (h handler) entries(s *fleet.State) (entries []membership.Entry) {
	self := h.Peers.Self()
	self.Version = s.Version
	entries = append(entries, self)
	for _, e := range h.Peers.Live() {
		if e.Name != self.Name {
			entries = append(entries, e)
		}
	}
	for _, d := range h.Peers.DataCentres() {
		if d != self.DataCentre {
			entries = append(entries, h.Peers.Remote(d)...)
		}
	}
	slices.SortFunc(entries, func(a, b membership.Entry) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Name, b.Name))
	})
	return entries
}

func (h handler) changeTable(s *fleet.State, id string) (t operatorapi.Table) {
	f := h.fateOf(s, id)
	t = newTable("change", "change", "state", "index", "reason")
	index := ""
	if f.Index.Set {
		index = fmt.Sprint(f.Index.Value)
	}
	add(&t, f.ID, f.State, index, f.Reason.Value)
	return t
}

func sorted[V any](m map[string]V) (names []string) {
	return slices.Sorted(maps.Keys(m))
}

// yes leaves the cell of what is not so empty.
func yes(b bool) string {
	if b {
		return "yes"
	}
	return ""
}

func moment(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.Format(time.RFC3339)
}
