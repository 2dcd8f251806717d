package frontier

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a chart, and how many stand in a row.
const (
	width, height = 360, 260
	padding       = 10
	columns       = 2
)

// WritePlot writes the points as charts in SVG, one for each load: instance-seconds against the
// share of tasks in time. The points with the usual headroom have a filled dot.
func WritePlot(w io.Writer, points []Point) (err error) {
	charts, err := newCharts(points)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	tiles := draw.Tiles{Rows: len(charts), Cols: columns, PadX: padding, PadY: padding, PadTop: padding, PadBottom: padding, PadLeft: padding, PadRight: padding}
	canvas := vgsvg.New(columns*width, vg.Length(len(charts))*height)
	for i, row := range plot.Align(charts, tiles, draw.New(canvas)) {
		for j, c := range row {
			if charts[i][j] != nil {
				charts[i][j].Draw(c)
			}
		}
	}
	_, err = canvas.WriteTo(w)
	return err
}

// newCharts returns the charts of all loads in rows, of which the first one has the legend. The
// last row may have places without one.
func newCharts(points []Point) (rows [][]*plot.Plot, err error) {
	var loads []string
	byLoad := make(map[string][]Point)
	for _, p := range points {
		if byLoad[p.Load] == nil {
			loads = append(loads, p.Load)
		}
		byLoad[p.Load] = append(byLoad[p.Load], p)
	}
	for i, load := range loads {
		if i%columns == 0 {
			rows = append(rows, make([]*plot.Plot, columns))
		}
		p, err := newChart(load, byLoad[load])
		if err != nil {
			return nil, err
		}
		if i > 0 {
			p.Legend = plot.NewLegend()
		}
		rows[i/columns][i%columns] = p
	}
	return rows, nil
}

// newChart returns the chart of a load.
func newChart(load string, points []Point) (p *plot.Plot, err error) {
	lines := make(map[string]plotter.XYs)
	var usual plotter.XYs
	for _, pt := range points {
		value := plotter.XY{X: pt.PoolSeconds, Y: pt.OnTime}
		lines[pt.Policy] = append(lines[pt.Policy], value)
		if pt.Headroom == 0 {
			usual = append(usual, value)
		}
	}
	p = plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = load, "instance-seconds", "share in time"
	p.Legend.XOffs, p.Legend.YOffs = -padding, padding
	if err = plotutil.AddLinePoints(p, MovingAverage, lines[MovingAverage], Learned, lines[Learned]); err != nil {
		return nil, err
	}
	dots, err := plotter.NewScatter(usual)
	if err != nil {
		return nil, err
	}
	dots.Shape = draw.CircleGlyph{}
	p.Add(dots)
	p.Legend.Add("usual headroom", dots)
	return p, nil
}
