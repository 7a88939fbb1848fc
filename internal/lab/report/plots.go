// Package report writes what a run showed: a self-contained HTML page with plots, and tables that compare runs.
package report

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"slices"
	"sort"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"larchrouter/internal/lab"
	"larchrouter/internal/lab/rules"
)

// palette holds the colours of lines; they can also be told apart with colour blindness.
var palette = []color.RGBA{{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255}, {86, 180, 233, 255},
	{230, 159, 0, 255}, {110, 110, 110, 255}, {150, 80, 30, 255}}

var (
	faultColour = color.NRGBA{230, 170, 60, 45} // translucent, so that overlapping faults are darker
	gridColour  = color.RGBA{225, 225, 225, 255}
)

// plotWidth and plotHeight are the size of a plot on the page.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3 * vg.Inch
)

// plotFigure is a plot with its title and a note below it.
type plotFigure struct {
	Title, Note string
	SVG         string
}

// newTimePlot returns an empty plot over the time of a run, in seconds, with the run's faults shaded.
func newTimePlot(r *lab.Result, title, unit string) *plot.Plot {
	chart := plot.New()
	chart.Title.Text = title
	chart.Title.Padding = 4
	chart.X.Label.Text, chart.Y.Label.Text = "seconds", unit
	chart.Legend.Top, chart.Legend.Left = true, true // names to the right of their lines, as a viewer's font may be wider
	chart.Legend.XOffs, chart.Legend.Padding = vg.Points(10), vg.Points(1)
	chart.Legend.TextStyle.Font.Size = vg.Points(9)
	gridLines := plotter.NewGrid()
	gridLines.Horizontal.Color, gridLines.Vertical.Color = gridColour, gridColour
	chart.Add(faultSpans(r.Faults), gridLines)
	return chart
}

// faultSpans are the times at which faults were active, to be shaded.
type faultSpans []lab.Span

// Plot implements plot.Plotter. It is added first, so that everything else is drawn over it.
func (f faultSpans) Plot(canvas draw.Canvas, chart *plot.Plot) {
	x, _ := chart.Transforms(&canvas)
	for _, span := range f {
		from, to := max(span.From, chart.X.Min), min(max(span.To, span.From+0.15), chart.X.Max)
		if to <= from {
			continue
		}
		canvas.FillPolygon(faultColour, []vg.Point{{X: x(from), Y: canvas.Min.Y}, {X: x(to), Y: canvas.Min.Y}, {X: x(to), Y: canvas.Max.Y}, {X: x(from), Y: canvas.Max.Y}})
	}
}

// addLine adds a line to a plot, with a name for its legend unless that is empty.
func addLine(chart *plot.Plot, name string, index int, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("line %s: %w", name, err)
	}
	line.Color = palette[index%len(palette)]
	line.Width = vg.Points(1.4)
	if index >= len(palette) {
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
	}
	chart.Add(line)
	if name != "" {
		chart.Legend.Add(name, line)
	}
	return nil
}

// seriesPoints converts a series to points, each in the middle of its interval.
func seriesPoints(series *rules.Series) plotter.XYs {
	if series == nil {
		return nil
	}
	points := make(plotter.XYs, 0, len(series.Values))
	for i, value := range series.Values {
		points = append(points, plotter.XY{X: (float64(i) + 0.5) * series.Interval, Y: value})
	}
	return points
}

// renderSVG draws a plot as SVG, with space at the top for the given number of lines in the legend.
func renderSVG(chart *plot.Plot, legendLines int) (string, error) {
	if chart.Y.Min > 0 {
		chart.Y.Min = 0
	}
	if chart.Y.Max <= chart.Y.Min {
		chart.Y.Max = chart.Y.Min + 1
	}
	chart.Y.Max += (chart.Y.Max - chart.Y.Min) * (0.05 + 0.09*float64(legendLines))
	canvas := vgsvg.New(plotWidth, plotHeight)
	chart.Draw(draw.Crop(draw.New(canvas), vg.Points(4), -vg.Points(14), 0, -vg.Points(2)))
	var buffer bytes.Buffer
	if _, err := canvas.WriteTo(&buffer); err != nil {
		return "", err
	}
	text := buffer.String()
	if start := strings.Index(text, "<svg"); start >= 0 { // without the XML header, as it is embedded in a page
		text = text[start:]
	}
	return text, nil
}

// maxProcessLines is the greatest number of processes that a plot shows.
const maxProcessLines = 8

// drawFigures draws all plots of a run.
func drawFigures(result *lab.Result) ([]plotFigure, error) {
	var figures []plotFigure
	for _, kind := range []struct {
		draw        func(*lab.Result) (*plot.Plot, string, error)
		legendLines int
	}{{outcomesPlot, 5}, {latencyPlot, 2}, {percentilePlot, 0}, {pendingPlot, 0}} {
		chart, note, err := kind.draw(result)
		if err != nil {
			return nil, err
		}
		text, err := renderSVG(chart, kind.legendLines)
		if err != nil {
			return nil, err
		}
		figures = append(figures, plotFigure{chart.Title.Text, note, text})
	}
	for _, dest := range slices.Sorted(mapKeys(result.Report.Calls)) {
		chart, err := callsPlot(result, dest)
		if err != nil {
			return nil, err
		}
		text, err := renderSVG(chart, 2)
		if err != nil {
			return nil, err
		}
		figures = append(figures, plotFigure{chart.Title.Text, result.Draw.Dests[dest].String(), text})
	}
	for _, resource := range []struct{ name, title, unit string }{{"cpu_percent", "Processor time by process", "% of a core"},
		{"memory_mb", "Memory by process", "MB"}, {"descriptors", "Descriptors by process", "open"}} {
		chart, note, err := usagePlot(result, resource.name, resource.title, resource.unit)
		if err != nil {
			return nil, err
		}
		text, err := renderSVG(chart, min(maxProcessLines, len(result.Report.Usage)))
		if err != nil {
			return nil, err
		}
		figures = append(figures, plotFigure{chart.Title.Text, note, text})
	}
	return figures, nil
}

// mapKeys iterates over the keys of a map.
func mapKeys[V any](m map[int]V) func(func(int) bool) {
	return func(yield func(int) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// outcomesPlot plots the number of messages by outcome for each second.
func outcomesPlot(result *lab.Result) (*plot.Plot, string, error) {
	chart := newTimePlot(result, "Outcomes of messages by second", "messages")
	countPoints := func(count func(rules.Second) int) plotter.XYs {
		var points plotter.XYs
		for i, second := range result.Report.Seconds {
			points = append(points, plotter.XY{X: float64(i) + 0.5, Y: float64(count(second))})
		}
		return points
	}
	for i, outcome := range []struct {
		name  string
		count func(rules.Second) int
	}{{"in time", func(second rules.Second) int { return second.InTime }}, {"refused", func(second rules.Second) int { return second.Refused }},
		{"late", func(second rules.Second) int { return second.Late }}, {"failed or unheard", func(second rules.Second) int { return second.Other }},
		{"asked for", func(second rules.Second) int { return second.Asked }}} {
		if err := addLine(chart, outcome.name, i, countPoints(outcome.count)); err != nil {
			return nil, "", err
		}
	}
	return chart, "By the second in which a message was first submitted. Shaded: a fault was active.", nil
}

// latencyPlot plots the median and the 99th percentile of the time to delivery for each second.
func latencyPlot(result *lab.Result) (*plot.Plot, string, error) {
	chart := newTimePlot(result, "Time to delivery", "ms")
	var medians, p99 plotter.XYs
	for i, second := range result.Report.Seconds {
		if second.InTime+second.Late > 0 {
			medians = append(medians, plotter.XY{X: float64(i) + 0.5, Y: second.P50})
			p99 = append(p99, plotter.XY{X: float64(i) + 0.5, Y: second.P99})
		}
	}
	if err := addLine(chart, "median", 0, medians); err != nil {
		return nil, "", err
	}
	return chart, "From the first submission, over all delivered messages.", addLine(chart, "99 of 100", 1, p99)
}

// percentilePlot plots the time to delivery by percentile.
func percentilePlot(result *lab.Result) (*plot.Plot, string, error) {
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = "Time to delivery by percentile", "percentile", "ms"
	var ticks []plot.Tick
	var points plotter.XYs
	for _, quantile := range result.Report.Latency.Curve {
		x := -math.Log10(1 - quantile.Percent/100)
		points = append(points, plotter.XY{X: x, Y: quantile.Ms})
		if slices.Contains([]float64{0, 50, 90, 99, 99.9, 99.99}, quantile.Percent) {
			ticks = append(ticks, plot.Tick{Value: x, Label: fmt.Sprintf("%g", quantile.Percent)})
		}
	}
	chart.X.Tick.Marker = plot.ConstantTicks(ticks)
	chart.Add(plotter.NewGrid())
	return chart, "The axis is logarithmic towards the highest percentiles.", addLine(chart, "", 0, points)
}

// pendingPlot plots the number of messages that relays have.
func pendingPlot(result *lab.Result) (*plot.Plot, string, error) {
	chart := newTimePlot(result, "Messages pending in relays", "messages")
	return chart, "Sum over the relays that answered; one that is down or stopped is missing.", addLine(chart, "", 0, seriesPoints(result.Report.PendingOverTime))
}

// callsPlot plots the calls to a destination, with its limit.
func callsPlot(result *lab.Result, dest int) (*plot.Plot, error) {
	chart := newTimePlot(result, fmt.Sprintf("Calls to destination %d", dest), "per second")
	if err := addLine(chart, "calls", 0, seriesPoints(result.Report.Calls[dest])); err != nil {
		return nil, err
	}
	var limitPoints plotter.XYs
	end := float64(len(result.Report.Seconds))
	for i, limit := range result.Report.Limits[dest] {
		to := end
		if i+1 < len(result.Report.Limits[dest]) {
			to = result.Report.Limits[dest][i+1].From
		}
		if limit.Rate > 0 {
			limitPoints = append(limitPoints, plotter.XY{X: limit.From, Y: limit.Rate}, plotter.XY{X: to, Y: limit.Rate})
		}
	}
	return chart, addLine(chart, "its limit", 1, limitPoints)
}

// usagePlot plots a resource that processes use, for at most maxProcessLines processes.
func usagePlot(result *lab.Result, name, title, unit string) (*plot.Plot, string, error) {
	chart := newTimePlot(result, title, unit)
	names := make([]string, 0, len(result.Report.Usage))
	for process := range result.Report.Usage {
		names = append(names, process)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := names[i], names[j]
		if len(a) != len(b) {
			return len(a) < len(b)
		}
		return a < b
	})
	note := ""
	if len(names) > maxProcessLines {
		note = fmt.Sprintf("%d of %d processes: those with the highest use.", maxProcessLines, len(names))
		maximum := func(process string) float64 {
			if values := result.Report.Usage[process].OverTime[name].Values; len(values) > 0 {
				return slices.Max(values)
			}
			return 0
		}
		sort.SliceStable(names, func(i, j int) bool { return maximum(names[i]) > maximum(names[j]) })
		names = names[:maxProcessLines]
	}
	for i, process := range names {
		if err := addLine(chart, process, i, seriesPoints(result.Report.Usage[process].OverTime[name])); err != nil {
			return nil, "", err
		}
	}
	return chart, note, nil
}
