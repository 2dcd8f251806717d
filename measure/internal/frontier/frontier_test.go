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
	if got := strings.Count(b.String(), "<circle"); got != len(points) {
		t.Errorf("%d dots, want %d", got, len(points))
	}
	x := scaleOf([]float64{100, 110}, margin, width)
	if x.at(100) < margin || x.at(110) > width {
		t.Errorf("points at %.1f and %.1f, outside of the axis", x.at(100), x.at(110))
	}
}
