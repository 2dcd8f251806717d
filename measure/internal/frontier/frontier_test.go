package frontier

import (
	"strings"
	"testing"

	"github.com/azurepoint/azurepoint/coordination/sizing/sizingtest"
)

// Guards against a chart without a policy or with points outside of its axes. The load is two
// points of each policy.
func TestWritePlot(t *testing.T) {
	var points []Point
	for _, policy := range []string{MovingAverage, Learned} {
		for _, h := range []float64{0, 0.1} {
			points = append(points, Point{Load: "l", Policy: policy, Headroom: h, Result: sizingtest.Result{OnTime: 0.9 + h, PoolSeconds: 100 + 100*h}})
		}
	}
	b := &strings.Builder{}
	if err := WritePlot(b, points); err != nil {
		t.Fatal(err)
	}
	// The closed paths are the background, the dots of the legend, those of the points and those
	// of the usual headroom.
	if got, want := strings.Count(b.String(), "Z\""), 1+3+len(points)+2; got != want {
		t.Errorf("%d closed paths, want %d", got, want)
	}
	charts, err := newCharts(points)
	if err != nil {
		t.Fatal(err)
	}
	c := charts[0][0]
	if c.X.Min > 100 || c.X.Max < 110 || c.Y.Min > 0.9 || c.Y.Max < 1 {
		t.Errorf("axes from %.1f to %.1f and from %.1f to %.1f leave points outside", c.X.Min, c.X.Max, c.Y.Min, c.Y.Max)
	}
}
