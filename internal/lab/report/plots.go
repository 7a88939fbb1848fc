// Package report draws what a run showed: a page that stands without a network, and tables that set runs side
// by side.
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

// The colours: told apart also by those who see few.
var palette = []color.RGBA{{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255}, {86, 180, 233, 255},
	{230, 159, 0, 255}, {110, 110, 110, 255}, {150, 80, 30, 255}}

var (
	shade = color.NRGBA{230, 170, 60, 45} // one over the other is darker
	grid  = color.RGBA{225, 225, 225, 255}
)

// size of a plot on the page.
const (
	width  = 9 * vg.Inch
	height = 3 * vg.Inch
)

// figure is a plot with what is said of it.
type figure struct {
	Title, Note string
	SVG         string
}

// canvas begins a plot over the time of a run, with its faults drawn in.
func canvas(r *lab.Result, title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Title.Padding = 4
	p.X.Label.Text, p.Y.Label.Text = "seconds", unit
	p.Legend.Top, p.Legend.Left = true, true // names to the right of their lines: a viewer's font may be wider
	p.Legend.XOffs, p.Legend.Padding = vg.Points(10), vg.Points(1)
	p.Legend.TextStyle.Font.Size = vg.Points(9)
	g := plotter.NewGrid()
	g.Horizontal.Color, g.Vertical.Color = grid, grid
	p.Add(faults(r.Faults), g)
	return p
}

// faults shades the times at which faults were on.
type faults []lab.Span

// Plot draws the shades behind all else.
func (f faults) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	for _, s := range f {
		from, to := max(s.From, p.X.Min), min(max(s.To, s.From+0.15), p.X.Max)
		if to <= from {
			continue
		}
		c.FillPolygon(shade, []vg.Point{{X: x(from), Y: c.Min.Y}, {X: x(to), Y: c.Min.Y}, {X: x(to), Y: c.Max.Y}, {X: x(from), Y: c.Max.Y}})
	}
}

// line adds a line to a plot, with a name for its legend.
func line(p *plot.Plot, name string, nth int, xy plotter.XYs) error {
	if len(xy) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xy)
	if err != nil {
		return fmt.Errorf("line %s: %w", name, err)
	}
	l.Color = palette[nth%len(palette)]
	l.Width = vg.Points(1.4)
	if nth >= len(palette) {
		l.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
	}
	p.Add(l)
	if name != "" {
		p.Legend.Add(name, l)
	}
	return nil
}

// points turns a series into what is drawn.
func points(s *rules.Series) plotter.XYs {
	if s == nil {
		return nil
	}
	xy := make(plotter.XYs, 0, len(s.Values))
	for i, v := range s.Values {
		xy = append(xy, plotter.XY{X: (float64(i) + 0.5) * s.Interval, Y: v})
	}
	return xy
}

// svg draws a plot, with room above for the names of so many lines.
func svg(p *plot.Plot, names int) (string, error) {
	if p.Y.Min > 0 {
		p.Y.Min = 0
	}
	if p.Y.Max <= p.Y.Min {
		p.Y.Max = p.Y.Min + 1
	}
	p.Y.Max += (p.Y.Max - p.Y.Min) * (0.05 + 0.09*float64(names))
	c := vgsvg.New(width, height)
	p.Draw(draw.Crop(draw.New(c), vg.Points(4), -vg.Points(14), 0, -vg.Points(2)))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i >= 0 { // it stands in a page
		text = text[i:]
	}
	return text, nil
}

// linesMost is how many processes are drawn one by one.
const linesMost = 8

// figures draws all plots of a run.
func figures(r *lab.Result) ([]figure, error) {
	var all []figure
	for _, k := range []struct {
		draw  func(*lab.Result) (*plot.Plot, string, error)
		names int
	}{{served, 5}, {latency, 2}, {curve, 0}, {held, 0}} {
		p, note, err := k.draw(r)
		if err != nil {
			return nil, err
		}
		text, err := svg(p, k.names)
		if err != nil {
			return nil, err
		}
		all = append(all, figure{p.Title.Text, note, text})
	}
	for _, dest := range slices.Sorted(keys(r.Report.Calls)) {
		p, err := calls(r, dest)
		if err != nil {
			return nil, err
		}
		text, err := svg(p, 2)
		if err != nil {
			return nil, err
		}
		all = append(all, figure{p.Title.Text, r.Draw.Dests[dest].String(), text})
	}
	for _, use := range []struct{ name, title, unit string }{{"cpu_percent", "Processor time by process", "% of a core"},
		{"memory_mb", "Memory by process", "MB"}, {"descriptors", "Descriptors by process", "open"}} {
		p, note, err := used(r, use.name, use.title, use.unit)
		if err != nil {
			return nil, err
		}
		text, err := svg(p, min(linesMost, len(r.Report.Usage)))
		if err != nil {
			return nil, err
		}
		all = append(all, figure{p.Title.Text, note, text})
	}
	return all, nil
}

func keys[V any](m map[int]V) func(func(int) bool) {
	return func(yield func(int) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func served(r *lab.Result) (*plot.Plot, string, error) {
	p := canvas(r, "What became of the messages of each second", "messages")
	of := func(f func(rules.Second) int) plotter.XYs {
		var xy plotter.XYs
		for i, s := range r.Report.Seconds {
			xy = append(xy, plotter.XY{X: float64(i) + 0.5, Y: float64(f(s))})
		}
		return xy
	}
	for i, l := range []struct {
		name string
		of   func(rules.Second) int
	}{{"in time", func(s rules.Second) int { return s.InTime }}, {"refused", func(s rules.Second) int { return s.Refused }},
		{"late", func(s rules.Second) int { return s.Late }}, {"failed or unheard", func(s rules.Second) int { return s.Other }},
		{"asked for", func(s rules.Second) int { return s.Asked }}} {
		if err := line(p, l.name, i, of(l.of)); err != nil {
			return nil, "", err
		}
	}
	return p, "By the second in which a message was first handed in. Shaded: a fault was on.", nil
}

func latency(r *lab.Result) (*plot.Plot, string, error) {
	p := canvas(r, "Time to delivery", "ms")
	var mid, high plotter.XYs
	for i, s := range r.Report.Seconds {
		if s.InTime+s.Late > 0 {
			mid = append(mid, plotter.XY{X: float64(i) + 0.5, Y: s.P50})
			high = append(high, plotter.XY{X: float64(i) + 0.5, Y: s.P99})
		}
	}
	if err := line(p, "median", 0, mid); err != nil {
		return nil, "", err
	}
	return p, "From the first handing-in, over all that were delivered.", line(p, "99 of 100", 1, high)
}

func curve(r *lab.Result) (*plot.Plot, string, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Time to delivery by percentile", "percentile", "ms"
	var ticks []plot.Tick
	var xy plotter.XYs
	for _, q := range r.Report.Latency.Curve {
		x := -math.Log10(1 - q.Percent/100)
		xy = append(xy, plotter.XY{X: x, Y: q.Ms})
		if slices.Contains([]float64{0, 50, 90, 99, 99.9, 99.99}, q.Percent) {
			ticks = append(ticks, plot.Tick{Value: x, Label: fmt.Sprintf("%g", q.Percent)})
		}
	}
	p.X.Tick.Marker = plot.ConstantTicks(ticks)
	p.Add(plotter.NewGrid())
	return p, "The axis is stretched towards the slowest.", line(p, "", 0, xy)
}

func held(r *lab.Result) (*plot.Plot, string, error) {
	p := canvas(r, "Messages that relays hold", "messages")
	return p, "By all relays that answered; one that is down or stands still tells nothing.", line(p, "", 0, points(r.Report.InFlight))
}

func calls(r *lab.Result, dest int) (*plot.Plot, error) {
	p := canvas(r, fmt.Sprintf("Calls to destination %d", dest), "a second")
	if err := line(p, "calls", 0, points(r.Report.Calls[dest])); err != nil {
		return nil, err
	}
	var limit plotter.XYs
	end := float64(len(r.Report.Seconds))
	for i, l := range r.Report.Limits[dest] {
		to := end
		if i+1 < len(r.Report.Limits[dest]) {
			to = r.Report.Limits[dest][i+1].From
		}
		if l.Rate > 0 {
			limit = append(limit, plotter.XY{X: l.From, Y: l.Rate}, plotter.XY{X: to, Y: l.Rate})
		}
	}
	return p, line(p, "its limit", 1, limit)
}

func used(r *lab.Result, name, title, unit string) (*plot.Plot, string, error) {
	p := canvas(r, title, unit)
	names := make([]string, 0, len(r.Report.Usage))
	for n := range r.Report.Usage {
		names = append(names, n)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := names[i], names[j]
		if len(a) != len(b) {
			return len(a) < len(b)
		}
		return a < b
	})
	note := ""
	if len(names) > linesMost {
		note = fmt.Sprintf("%d of %d processes: those that used most.", linesMost, len(names))
		most := func(n string) float64 {
			if v := r.Report.Usage[n].OverTime[name].Values; len(v) > 0 {
				return slices.Max(v)
			}
			return 0
		}
		sort.SliceStable(names, func(i, j int) bool { return most(names[i]) > most(names[j]) })
		names = names[:linesMost]
	}
	for i, n := range names {
		if err := line(p, n, i, points(r.Report.Usage[n].OverTime[name])); err != nil {
			return nil, "", err
		}
	}
	return p, note, nil
}
