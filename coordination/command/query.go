package command

import "fmt"

// Query is a statement that asks; it is one of the Show types of this package.
type Query interface {
	fmt.Stringer
	query()
}

// List is a table that is shown whole.
type List string

// Lists of the language.
const (
	Pools    List = "pools"
	Members  List = "members"
	Waves    List = "waves"
	Versions List = "versions"
	Usage    List = "usage"
)

// ShowList asks for a whole table.
type ShowList struct {
	List List `parser:"'show' @('pools' | 'members' | 'waves' | 'versions' | 'usage')"`
}

// ShowInstances asks for the instances of a pool, of a data centre, or of both;
// an empty name means all.
type ShowInstances struct {
	Pool       Name `parser:"'show' 'instances' ('in' 'pool' @@)?"`
	DataCentre Name `parser:"('in' 'dataCentre' @@)?"`
}

// ShowMovable asks which instances may move to a pool, or to any if it is empty.
type ShowMovable struct {
	Pool Name `parser:"'show' 'movable' ('to' 'pool' @@)?"`
}

// ShowDrainable asks which instances may drain in a wave, or in any if it is
// empty.
type ShowDrainable struct {
	Wave Name `parser:"'show' 'drainable' ('in' 'wave' @@)?"`
}

// ShowChange asks for the fate of a change.
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
	return "show instances" + optional(" in pool ", q.Pool) + optional(" in dataCentre ", q.DataCentre)
}

// String returns the statement in the language.
func (q ShowMovable) String() string {
	return "show movable" + optional(" to pool ", q.Pool)
}

// String returns the statement in the language.
func (q ShowDrainable) String() string {
	return "show drainable" + optional(" in wave ", q.Wave)
}

// String returns the statement in the language.
func (q ShowChange) String() string {
	return "show change " + q.ID.String()
}

func optional(words string, n Name) string {
	if n == "" {
		return ""
	}
	return words + string(n)
}
