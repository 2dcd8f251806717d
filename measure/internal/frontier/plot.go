package frontier

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Size of a chart in pixels.
const (
	width, height = 360, 260
	margin        = 50
	columns       = 2
)

// colours are those of the policies.
var colours = map[string]string{MovingAverage: "#c04000", Learned: "#0060a0"}

// scale maps values to pixels.
type scale struct {
	low, high, from, to float64
}

func (s scale) at(value float64) float64 {
	return s.from + (value-s.low)/(s.high-s.low)*(s.to-s.from)
}

// scaleOf returns a scale over some values, a twentieth wider than they are.
func scaleOf(values []float64, from, to float64) (s scale) {
	s = scale{low: math.Inf(1), high: math.Inf(-1), from: from, to: to}
	for _, v := range values {
		s.low, s.high = min(s.low, v), max(s.high, v)
	}
	wider := max((s.high-s.low)/20, 1e-6)
	s.low, s.high = s.low-wider, s.high+wider
	return s
}

// WritePlot writes the points as charts in SVG, one for each load: instance-seconds against the
// share of tasks in time. Filled dots have the usual headroom.
func WritePlot(w io.Writer, points []Point) (err error) {
	var loads []string
	byLoad := make(map[string][]Point)
	for _, p := range points {
		if byLoad[p.Load] == nil {
			loads = append(loads, p.Load)
		}
		byLoad[p.Load] = append(byLoad[p.Load], p)
	}
	rows := (len(loads) + columns - 1) / columns
	b := &strings.Builder{}
	_, _ = fmt.Fprintf(b, "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n", columns*width, rows*height)
	_, _ = fmt.Fprintf(b, "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n")
	for i, load := range loads {
		_, _ = fmt.Fprintf(b, "<g transform=\"translate(%d,%d)\">\n", i%columns*width, i/columns*height)
		writeChart(b, load, byLoad[load])
		_, _ = fmt.Fprintln(b, "</g>")
	}
	_, _ = fmt.Fprintln(b, "</svg>")
	_, err = io.WriteString(w, b.String())
	return err
}

// writeChart writes the chart of a load.
func writeChart(w io.Writer, load string, points []Point) {
	var seconds, shares []float64
	for _, p := range points {
		seconds, shares = append(seconds, p.PoolSeconds), append(shares, p.OnTime)
	}
	x, y := scaleOf(seconds, margin, width-margin/2), scaleOf(shares, height-margin, margin/2)
	_, _ = fmt.Fprintf(w, "<text x=\"%d\" y=\"15\" font-weight=\"bold\">%s</text>\n", margin, load)
	_, _ = fmt.Fprintf(w, "<path d=\"M%g %gV%gH%g\" fill=\"none\" stroke=\"black\"/>\n", x.from, y.to, y.from, x.to)
	for _, share := range []float64{0.05, 0.5, 0.95} {
		s, o := x.low+share*(x.high-x.low), y.low+share*(y.high-y.low)
		_, _ = fmt.Fprintf(w, "<text x=\"%g\" y=\"%g\" text-anchor=\"middle\">%.0f</text>\n", x.at(s), y.from+14, s)
		_, _ = fmt.Fprintf(w, "<text x=\"%g\" y=\"%g\" text-anchor=\"end\">%.3f</text>\n", x.from-4, y.at(o)+4, o)
	}
	_, _ = fmt.Fprintf(w, "<text x=\"%g\" y=\"%g\" text-anchor=\"middle\">instance-seconds, by share in time</text>\n", (x.from+x.to)/2, y.from+28)
	for i, policy := range []string{MovingAverage, Learned} {
		_, _ = fmt.Fprintf(w, "<text x=\"%g\" y=\"%g\" fill=\"%s\">%s</text>\n", x.from+10+120*float64(i), y.from+42, colours[policy], policy)
		writeLine(w, x, y, policy, points)
	}
}

// writeLine writes the points of a policy.
func writeLine(w io.Writer, x, y scale, policy string, points []Point) {
	path := ""
	for _, p := range points {
		if p.Policy != policy {
			continue
		}
		command := "L"
		if path == "" {
			command = "M"
		}
		path += fmt.Sprintf("%s%.1f %.1f", command, x.at(p.PoolSeconds), y.at(p.OnTime))
		fill := "white"
		if p.Headroom == 0 {
			fill = colours[policy]
		}
		_, _ = fmt.Fprintf(w, "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"3\" fill=\"%s\" stroke=\"%s\"/>\n", x.at(p.PoolSeconds), y.at(p.OnTime), fill, colours[policy])
	}
	_, _ = fmt.Fprintf(w, "<path d=\"%s\" fill=\"none\" stroke=\"%s\"/>\n", path, colours[policy])
}
