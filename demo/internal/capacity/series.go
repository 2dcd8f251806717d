package capacity

import (
	"context"
	"fmt"
	"io"
)

// series varies one dimension of the fleet size and keeps the others fixed.
type series struct {
	dimension string
	unit      string
	sizes     []Size
	// value returns the varied dimension of a size.
	value func(s Size) float64
}

var allSeries = []series{
	{"entries", "entry of the data centre", []Size{
		{DataCentres: 1, Entries: 2, Local: 10}, {DataCentres: 1, Entries: 4, Local: 10}, {DataCentres: 1, Entries: 8, Local: 10},
	}, func(s Size) float64 { return float64(s.Entries) }},
	{"dataCentres", "data centre of 2 entries", []Size{
		{DataCentres: 1, Entries: 2, Local: 10}, {DataCentres: 3, Entries: 2, Local: 10}, {DataCentres: 6, Entries: 2, Local: 10},
	}, func(s Size) float64 { return float64(s.DataCentres) }},
	{"local", "instance of the data centre, with 2 entries", []Size{
		{DataCentres: 1, Entries: 2, Local: 20}, {DataCentres: 1, Entries: 2, Local: 100}, {DataCentres: 1, Entries: 2, Local: 400},
	}, func(s Size) float64 { return float64(s.Local) }},
	{"configured", "configured instance elsewhere", []Size{
		{DataCentres: 1, Entries: 2, Local: 10},
		{DataCentres: 1, Entries: 2, Local: 10, Configured: 4000},
		{DataCentres: 1, Entries: 2, Local: 10, Configured: 12000},
	}, func(s Size) float64 { return float64(s.Configured) }},
	{"changes", "change a second, with 4,000 instances configured", []Size{
		{DataCentres: 1, Entries: 2, Local: 10, Configured: 4000},
		{DataCentres: 1, Entries: 2, Local: 10, Configured: 4000, Changes: 2},
		{DataCentres: 1, Entries: 2, Local: 10, Configured: 4000, Changes: 6},
	}, func(s Size) float64 { return s.Changes }},
}

// figure is one component of a cost with its printed name and unit.
type figure struct {
	name  string
	unit  string
	value func(c Cost) float64
}

var figures = []figure{
	{"core", "percent", func(c Cost) float64 { return 100 * c.CPU }},
	{"memory", "MB", func(c Cost) float64 { return c.Memory / (1 << 20) }},
	{"peer", "B/s", func(c Cost) float64 { return c.Peer }},
	{"platform", "B/s", func(c Cost) float64 { return c.Platform }},
	{"endpoint", "B/s", func(c Cost) float64 { return c.Endpoint }},
	{"calls", "calls/s", func(c Cost) float64 { return c.PlatformCalls }},
}

// Run measures every series and prints one line for each size and each slope. A
// size that occurs in several series is measured once.
func Run(ctx context.Context, bin string, w io.Writer) (err error) {
	cache := make(map[Size]Cost)
	for _, s := range allSeries {
		var costs []Cost
		for _, size := range s.sizes {
			c, measured := cache[size]
			if !measured {
				if c, err = measure(ctx, bin, size); err != nil {
					return err
				}
				cache[size] = c
			}
			costs = append(costs, c)
			fmt.Fprintf(w, "capacity %s=%g", s.dimension, s.value(size))
			for _, f := range figures {
				fmt.Fprintf(w, " %s=%.4g", f.name, f.value(c))
			}
			fmt.Fprintln(w)
		}
		s.printSlopes(w, costs)
	}
	return nil
}

func (s series) printSlopes(w io.Writer, costs []Cost) {
	for _, f := range figures {
		slope, base := s.fit(costs, f)
		fmt.Fprintf(w, "slope dimension=%s name=%s perUnit=%.4g base=%.4g unit=%s per=%q\n",
			s.dimension, f.name, slope, base, f.unit, s.unit)
	}
}

// fit returns slope and intercept of the least-squares line through the measured
// costs.
func (s series) fit(costs []Cost, f figure) (slope, base float64) {
	var sumX, sumY, sumXX, sumXY float64
	n := float64(len(costs))
	for i, c := range costs {
		x, y := s.value(s.sizes[i]), f.value(c)
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return slope, (sumY - slope*sumX) / n
}
