package frontier

import (
	"fmt"

	"github.com/azurepoint/azurepoint/coordination/sizing/sizingtest"
	"github.com/azurepoint/azurepoint/measure/internal/report"
)

// headrooms are the shares of the forecast that are added to the usual headroom.
var headrooms = []float64{-0.3, -0.2, -0.1, 0, 0.1, 0.2, 0.3}

// Policies of the sizes.
const (
	MovingAverage = "moving average"
	Learned       = "learned run times"
)

// Point is what a policy gave for a load with a headroom.
type Point struct {
	Load, Policy string
	Headroom     float64
	sizingtest.Result
}

// Points plays all loads by both policies with each headroom, with seeds from 1 up.
func Points(seeds int) (points []Point) {
	for _, l := range sizingtest.Loads() {
		for _, policy := range []string{MovingAverage, Learned} {
			for _, h := range headrooms {
				points = append(points, Point{Load: l.Name, Policy: policy, Headroom: h, Result: l.Play(seeds, policy == Learned, h)})
			}
		}
	}
	return points
}

// Figures returns the points as figures.
func Figures(points []Point, seeds int) (figures []report.Figure) {
	for _, p := range points {
		policy := fmt.Sprintf("%s %+.1f", p.Policy, p.Headroom)
		for _, f := range []struct {
			name, unit string
			value      float64
		}{
			{"in time", "share", p.OnTime}, {"moves", "moves", p.Moves}, {"instances in pools", "instance-seconds", p.PoolSeconds},
		} {
			figures = append(figures, report.Figure{Site: p.Load, Policy: policy, Name: f.name, Value: f.value, Min: f.value, Max: f.value, Seeds: seeds, Unit: f.unit})
		}
	}
	return figures
}
