package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/azurepoint/azurepoint/measure/internal/flood"
	"github.com/azurepoint/azurepoint/measure/internal/frontier"
	"github.com/azurepoint/azurepoint/measure/internal/report"
	"github.com/azurepoint/azurepoint/measure/internal/rollout"
)

// measurements lists the simulations in the order in which they run. Each one
// takes the seeds and returns its figures.
var measurements = []func(seeds []int64) []report.Figure{
	flood.Measure,
	rollout.Measure,
}

// flags are the command line of measure.
type flags struct {
	Seeds int    `arg:"--seeds" default:"5" help:"number of seeds, from 1 up"`
	Out   string `arg:"--out" help:"file that the figures are written to as well"`
	// Frontier measures the sizes of pools only.
	Frontier *frontierFlags `arg:"subcommand:frontier" help:"instance-seconds against the share in time, over the headroom of pools"`
}

// frontierFlags are the command line of measure frontier.
type frontierFlags struct {
	Plot string `arg:"--plot" help:"file that the charts are written to, as SVG"`
}

// Description is the first line of the help text.
func (flags) Description() string {
	return "measure runs the policies under virtual time and prints one figure a line"
}

// Main runs the measurements and returns the exit status.
func Main(args []string, out, problems io.Writer) (status int) {
	err := run(args, out)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, arg.ErrHelp):
		return 0
	default:
		_, _ = fmt.Fprintln(problems, err)
		return 1
	}
}

func run(args []string, out io.Writer) (err error) {
	defer func() {
		if err != nil && !errors.Is(err, arg.ErrHelp) {
			err = fmt.Errorf("measure: %w", err)
		}
	}()
	var f flags
	parser, err := arg.NewParser(arg.Config{Program: "measure", Out: out}, &f)
	if err != nil {
		return err
	}
	if err = parser.Parse(args); err != nil {
		if errors.Is(err, arg.ErrHelp) {
			parser.WriteHelp(out)
		}
		return err
	}
	if f.Seeds < 1 {
		return fmt.Errorf("--seeds %d is less than 1", f.Seeds)
	}
	if f.Frontier != nil {
		return f.Frontier.measure(f.Seeds, out)
	}
	if f.Out == "" {
		return measure(f.Seeds, out)
	}
	file, err := os.Create(f.Out)
	if err != nil {
		return err
	}
	return errors.Join(measure(f.Seeds, io.MultiWriter(out, file)), file.Close())
}

// measure prints the figures of the sizes of pools and writes their charts.
func (f *frontierFlags) measure(seeds int, out io.Writer) (err error) {
	points := frontier.Points(seeds)
	if err = report.Write(out, frontier.Figures(points, seeds)); err != nil || f.Plot == "" {
		return err
	}
	file, err := os.Create(f.Plot)
	if err != nil {
		return err
	}
	return errors.Join(frontier.WritePlot(file, points), file.Close())
}

// measure runs the measurements with the seeds 1 to the given number and prints
// the figures of each one when it ends.
func measure(seeds int, out io.Writer) (err error) {
	list := make([]int64, seeds)
	for i := range list {
		list[i] = int64(i + 1)
	}
	for _, m := range measurements {
		if err = report.Write(out, m(list)); err != nil {
			return err
		}
	}
	return nil
}
