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

// addRow appends a row with one cell for each column.
func addRow(t *operatorapi.Table, cells ...any) {
	row := operatorapi.Row{Cells: make([]string, 0, len(cells))}
	for _, c := range cells {
		row.Cells = append(row.Cells, fmt.Sprint(c))
	}
	t.Rows = append(t.Rows, row)
}

// queryTables returns the tables for a query, or an error that names what does not
// exist.
func (h handler) queryTables(s *fleet.State, q command.Query) (tables []operatorapi.Table, err error) {
	switch q := q.(type) {
	case command.ShowList:
		return h.listTables(s, q.List), nil
	case command.ShowInstances:
		return singleTable(h.instancesTable(s, string(q.Pool), string(q.DataCentre)))
	case command.ShowMovable:
		return singleTable(movableTable(s, string(q.Pool)))
	case command.ShowDrainable:
		return singleTable(drainableTable(s, string(q.Wave)))
	case command.ShowChange:
		return []operatorapi.Table{h.changeTable(s, string(q.ID))}, nil
	}
	return nil, errors.Errorf("operator: unsupported query %q", q)
}

func singleTable(t operatorapi.Table, err error) ([]operatorapi.Table, error) {
	return []operatorapi.Table{t}, err
}

func (h handler) listTables(s *fleet.State, l command.Table) (tables []operatorapi.Table) {
	switch l {
	case command.Pools:
		return []operatorapi.Table{poolsTable(s)}
	case command.Members:
		return []operatorapi.Table{membersTable(s)}
	case command.Waves:
		return []operatorapi.Table{wavesTable(s)}
	case command.Versions:
		return h.versionTables(s)
	default:
		return usageTables(s, h.Usage.Usage())
	}
}

func poolsTable(s *fleet.State) (t operatorapi.Table) {
	parts := splitByPool(s)
	t = newTable("pools", "pool", "budget", "unavailable", "instances", "serving", "draining", "releasing",
		"failed", "slots", "spare")
	for _, name := range sortedKeys(s.Pools) {
		p, part := s.Pools[name], parts[name]
		c := sumPool(part.Instances)
		unavailable := part.Unavailable(name)
		addRow(&t, name, p.Budget, unavailable, len(part.Instances), len(part.Instances)-unavailable, c.draining,
			c.releasing, c.failed, c.slots, yesOrEmpty(p.Spare))
	}
	return t
}

// poolTotals holds the totals over the instances of a pool; a failed instance is
// also counted in its phase.
type poolTotals struct {
	draining, releasing, failed, slots int
}

func sumPool(instances map[string]fleet.Instance) (c poolTotals) {
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

func membersTable(s *fleet.State) (t operatorapi.Table) {
	t = newTable("members", "member", "cap", "share", "minimum")
	for _, name := range sortedKeys(s.Members) {
		m := s.Members[name]
		addRow(&t, name, m.Cap, max(1, m.Share), m.Minimum)
	}
	return t
}

func (h handler) instancesTable(s *fleet.State, pool, dataCentre string) (t operatorapi.Table, err error) {
	if err = requirePool(s, pool); err != nil {
		return t, err
	}
	t = newTable("instances", "instance", "pool", "phase", "rebooting", "failed", "leaving", "nextPool", "wave",
		"maintained", "dataCentre", "rack", "address", "slots", "since")
	for _, name := range sortedKeys(s.Instances) {
		i := s.Instances[name]
		if (pool != "" && i.Pool != pool) || (dataCentre != "" && i.DataCentre != dataCentre) {
			continue
		}
		addRow(&t, name, i.Pool, i.Phase, yesOrEmpty(i.Rebooting), yesOrEmpty(i.Failed), yesOrEmpty(h.Fleet.Leaving(name)), i.NextPool, i.Wave,
			i.CompletedWave, i.DataCentre, i.Rack, i.Address, i.Slots, i.PhaseVersion)
	}
	return t, nil
}

func requirePool(s *fleet.State, pool string) (err error) {
	if _, found := s.Pools[pool]; !found && pool != "" {
		return errors.Errorf("pool %q does not exist", pool)
	}
	return nil
}

func wavesTable(s *fleet.State) (t operatorapi.Table) {
	t = newTable("waves", "wave", "state", "pools", "instances", "done", "draining", "until", "reason")
	for _, name := range sortedKeys(s.Waves) {
		w := s.Waves[name]
		c := progressOf(s, w)
		addRow(&t, name, w.State, strings.Join(w.Pools, ", "), c.instances, c.done, c.draining, formatTime(w.Until), w.Reason)
	}
	return t
}

// waveProgress counts the instances of a wave's pools and how many are done or
// draining.
type waveProgress struct {
	instances, done, draining int
}

func progressOf(s *fleet.State, w fleet.Wave) (c waveProgress) {
	for _, i := range s.Instances {
		if !slices.Contains(w.Pools, i.Pool) {
			continue
		}
		c.instances++
		if i.CompletedWave == w.Name {
			c.done++
		}
		if i.Phase == fleet.Draining && i.Wave == w.Name {
			c.draining++
		}
	}
	return c
}

// versionTables lists the version of each entry, and the lowest and highest
// version of each data centre. The version of this entry is the one in force now,
// not the one in its last heartbeat.
func (h handler) versionTables(s *fleet.State) (tables []operatorapi.Table) {
	entries := h.knownLiveEntries(s)
	newest := slices.MaxFunc(entries, compareVersions).Version
	byEntry := newTable("versions by entry", "dataCentre", "entry", "incarnation", "version", "behind", "leaving")
	for _, e := range entries {
		addRow(&byEntry, e.DataCentre, e.Name, e.Incarnation, e.Version, newest-e.Version, yesOrEmpty(e.Leaving))
	}
	return []operatorapi.Table{dataCentreVersionsTable(entries), byEntry}
}

// dataCentreVersionsTable expects the entries sorted by data centre.
func dataCentreVersionsTable(entries []membership.Entry) (t operatorapi.Table) {
	t = newTable("versions by data centre", "dataCentre", "entries", "lowest", "highest")
	for len(entries) > 0 {
		name := entries[0].DataCentre
		inOtherDataCentre := func(e membership.Entry) bool { return e.DataCentre != name }
		n := slices.IndexFunc(entries, inOtherDataCentre)
		if n < 0 {
			n = len(entries)
		}
		lowest, highest := slices.MinFunc(entries[:n], compareVersions), slices.MaxFunc(entries[:n], compareVersions)
		addRow(&t, name, n, lowest.Version, highest.Version)
		entries = entries[n:]
	}
	return t
}

func compareVersions(a, b membership.Entry) int {
	return cmp.Compare(a.Version, b.Version)
}

// knownLiveEntries returns this entry and the live entries of all known data
// centres, sorted by data centre and name.
func (h handler) knownLiveEntries(s *fleet.State) (entries []membership.Entry) {
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
	f := h.lookUpChange(s, id)
	t = newTable("change", "change", "state", "index", "reason")
	index := ""
	if f.Index.Set {
		index = fmt.Sprint(f.Index.Value)
	}
	addRow(&t, f.ID, f.State, index, f.Reason.Value)
	return t
}

func sortedKeys[V any](m map[string]V) (names []string) {
	return slices.Sorted(maps.Keys(m))
}

// yesOrEmpty returns the cell of a flag, which stays empty if the flag is not set.
func yesOrEmpty(b bool) string {
	if b {
		return "yes"
	}
	return ""
}

// formatTime returns an empty cell for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.Format(time.RFC3339)
}
