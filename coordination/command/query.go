package command

import "fmt"

// Query is a statement that reads; it is one of the Show types of this package.
type Query interface {
	fmt.Stringer
	query()
}

// Table is a table that a query shows in full.
type Table string

// Tables that the language can show.
const (
	Pools    Table = "pools"
	Members  Table = "members"
	Waves    Table = "waves"
	Versions Table = "versions"
	Usage    Table = "usage"
)

// ShowList queries a complete table.
type ShowList struct {
	List Table `parser:"'show' @('pools' | 'members' | 'waves' | 'versions' | 'usage')"`
}

// ShowInstances queries the instances in a pool, in a data centre, or in both; an
// empty name means any.
type ShowInstances struct {
	Pool       Name `parser:"'show' 'instances' ('in' 'pool' @@)?"`
	DataCentre Name `parser:"('in' 'dataCentre' @@)?"`
}

// ShowMovable queries which instances may move to a pool, or to any pool if it is
// empty.
type ShowMovable struct {
	Pool Name `parser:"'show' 'movable' ('to' 'pool' @@)?"`
}

// ShowDrainable queries which instances may be drained for a wave, or for any wave
// if it is empty.
type ShowDrainable struct {
	Wave Name `parser:"'show' 'drainable' ('in' 'wave' @@)?"`
}

// ShowChange queries the result of a change.
type ShowChange struct {
	ID ChangeID `parser:"'show' 'change' @@"`
}

func (ShowList) query()      {}
func (ShowInstances) query() {}
func (ShowMovable) query()   {}
func (ShowDrainable) query() {}
func (ShowChange) query()    {}

// String returns the statement in the language.
func (q ShowList) String() string {
	return "show " + string(q.List)
}

// String returns the statement in the language.
func (q ShowInstances) String() string {
	return "show instances" + optionalClause(" in pool ", q.Pool) + optionalClause(" in dataCentre ", q.DataCentre)
}

// String returns the statement in the language.
func (q ShowMovable) String() string {
	return "show movable" + optionalClause(" to pool ", q.Pool)
}

// String returns the statement in the language.
func (q ShowDrainable) String() string {
	return "show drainable" + optionalClause(" in wave ", q.Wave)
}

// String returns the statement in the language.
func (q ShowChange) String() string {
	return "show change " + q.ID.String()
}

func optionalClause(words string, n Name) string {
	if n == "" {
		return ""
	}
	return words + string(n)
}
