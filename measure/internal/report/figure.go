package report

import (
	"fmt"
	"io"
	"slices"
)

// Figure is one measured value with its range over the seeds.
type Figure struct {
	Site   string
	Policy string
	Name   string
	// Value is the median over the seeds, in Unit.
	Value float64
	Min   float64
	Max   float64
	Seeds int
	Unit  string
}

// NewFigure summarises the values of all seeds; it panics if values is empty.
func NewFigure(site, policy, name, unit string, values []float64) (f Figure) {
	sorted := slices.Sorted(slices.Values(values))
	return Figure{
		Site:   site,
		Policy: policy,
		Name:   name,
		Value:  sorted[len(sorted)/2],
		Min:    sorted[0],
		Max:    sorted[len(sorted)-1],
		Seeds:  len(sorted),
		Unit:   unit,
	}
}

// String returns the figure as one line of name=value pairs.
func (f Figure) String() string {
	return fmt.Sprintf("measure site=%s policy=%s name=%s value=%.4g min=%.4g max=%.4g seeds=%d unit=%s",
		f.Site, f.Policy, f.Name, f.Value, f.Min, f.Max, f.Seeds, f.Unit)
}

// Write prints the figures, one on each line.
func Write(w io.Writer, figures []Figure) (err error) {
	for _, f := range figures {
		if _, err = fmt.Fprintln(w, f); err != nil {
			return err
		}
	}
	return nil
}
