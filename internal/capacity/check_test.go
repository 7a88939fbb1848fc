// Package capacity guards docs/CAPACITY.md: its results follow from its slopes and assumptions by its formulas, what it says of
// an allowance follows from the result, and each benchmark that it names is in the tree. There is nothing else in it.
package capacity

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
)

// The tables of the page are told apart by the first cell of their heads.
const (
	valuesTable       = "value"        // named values: given, or by a formula from others
	slopesTable       = "slope"        // measured, each by a benchmark
	rowsTable         = "row"          // what a role takes, against an allowance
	failureTable      = "failure"      // the same while something fails; out of the order
	orderTable        = "mechanism"    // what is missing, by how many times over
	extrapolatedTable = "extrapolated" // slopes used far beyond what was measured
)

// far is how many times a slope may be used beyond what was measured before the page has to say so.
const extrapolationFactor = 10

// page is what the tables of the page say.
type page struct {
	values             map[string]float64
	slopes             map[string]bool
	problems           []string
	shortfalls         []shortfall
	statedOrder        []shortfall // as stated: mechanism and times
	extrapolated       map[string]bool
	statedExtrapolated map[string]bool // to be far
}

// row is what one mechanism is over by, as recomputed.
type shortfall struct {
	name, mechanism string
	timesOver       float64
}

func (p *page) addProblem(format string, args ...any) {
	p.problems = append(p.problems, fmt.Sprintf(format, args...))
}

// check returns what does not follow in a page. Exists tells whether a package has a benchmark.
func check(text string, exists func(dir, name string) bool) []string {
	p := &page{values: map[string]float64{}, slopes: map[string]bool{}, extrapolated: map[string]bool{}, statedExtrapolated: map[string]bool{}}
	seen := map[string]int{}
	for _, t := range parseTables(text) {
		seen[t.columns[0]]++
		for _, cells := range t.rows {
			r := tableRow{p, cells, t.columns}
			if len(cells) != len(t.columns) {
				p.addProblem("%s: %d cells where the head has %d", cells[0], len(cells), len(t.columns))
				continue
			}
			switch t.columns[0] {
			case valuesTable:
				r.checkValue()
			case slopesTable:
				r.checkSlope(exists)
			case rowsTable, failureTable:
				r.checkResult(t.columns[0] == rowsTable)
			case orderTable:
				p.statedOrder = append(p.statedOrder, shortfall{mechanism: r.cell("mechanism"), timesOver: r.number("times over")})
			case extrapolatedTable:
				p.statedExtrapolated[r.name("extrapolated")] = true
			}
		}
	}
	for _, kind := range []string{valuesTable, slopesTable, rowsTable, failureTable, orderTable, extrapolatedTable} {
		if seen[kind] == 0 {
			p.addProblem("there is no table of kind %q", kind)
		}
	}
	p.checkOrder()
	for name := range p.extrapolated {
		if !p.statedExtrapolated[name] {
			p.addProblem("%s is used beyond a tenfold, and not listed as extrapolated", name)
		}
	}
	for name := range p.statedExtrapolated {
		if !p.extrapolated[name] {
			p.addProblem("%s is listed as extrapolated, and is not used beyond a tenfold", name)
		}
	}
	slices.Sort(p.problems)
	return p.problems
}

// ordered checks the order of what is missing: by the most that a row of each mechanism is over.
func (p *page) checkOrder() {
	largest := map[string]float64{}
	for _, r := range p.shortfalls {
		largest[r.mechanism] = max(largest[r.mechanism], r.timesOver)
	}
	maps.DeleteFunc(largest, func(_ string, over float64) bool { return over <= 1 })
	previous := math.Inf(1)
	for _, o := range p.statedOrder {
		over, ok := largest[o.mechanism]
		switch {
		case !ok:
			p.addProblem("%s is in the order, and no row of an ordinary day is over for want of it", o.mechanism)
		case !approximatelyEqual(o.timesOver, over):
			p.addProblem("%s: %v times over in the order, by the rows %.4g", o.mechanism, o.timesOver, over)
		case over > previous*1.01:
			p.addProblem("%s stands after one that is over by less", o.mechanism)
		}
		previous = min(previous, over)
		delete(largest, o.mechanism)
	}
	for name, over := range largest {
		p.addProblem("%s is %.4g times over, and not in the order", name, over)
	}
}

// record is a table's row, by the names of its columns.
type tableRow struct {
	*page
	cells, columns []string
}

func (r tableRow) cell(column string) string {
	i := slices.Index(r.columns, column)
	if i < 0 {
		r.addProblem("%s: there is no column %q", r.cells[0], column)
		return ""
	}
	return r.cells[i]
}

func (r tableRow) name(column string) string { return strings.Trim(r.cell(column), "`") }

// number reads a cell as a number.
func (r tableRow) number(column string) float64 { return r.parse(r.cell(column)) }

func (r tableRow) parse(text string) float64 {
	n, err := strconv.ParseFloat(strings.ReplaceAll(text, ",", ""), 64)
	if err != nil {
		r.addProblem("%s: %q is no number", r.cells[0], text)
		return math.NaN()
	}
	return n
}

// compute is what a formula comes to.
func (r tableRow) compute(formula string) float64 {
	env := map[string]any{}
	for name, v := range r.values {
		env[name] = v
	}
	var program *vm.Program
	program, err := expr.Compile(strings.Trim(formula, "`"), expr.Env(env), expr.AsFloat64())
	if err != nil {
		r.addProblem("%s: %s: %v", r.cells[0], formula, err)
		return math.NaN()
	}
	out, err := expr.Run(program, env)
	if err != nil {
		r.addProblem("%s: %s: %v", r.cells[0], formula, err)
		return math.NaN()
	}
	return out.(float64)
}

// near tells whether a stated number is another to three digits.
func approximatelyEqual(stated, computed float64) bool {
	return math.Abs(stated-computed) <= 0.006*math.Abs(computed)
}

// define names a value for the formulas that follow.
func (r tableRow) define(name string, v float64) {
	if _, ok := r.values[name]; ok {
		r.addProblem("%s is defined twice", name)
	}
	r.values[name] = v
}

// value takes a named value in.
func (r tableRow) checkValue() {
	v := r.number("is")
	if f := r.cell("formula"); f != "-" {
		if n := r.compute(f); !approximatelyEqual(v, n) {
			r.addProblem("%s is %v, and %s comes to %.4g", r.name("value"), v, f, n)
		}
	}
	if r.cell("from") == "" {
		r.addProblem("%s: it is not said where it is from", r.name("value"))
	}
	r.define(r.name("value"), v)
}

var benchmarkCell = regexp.MustCompile("^`([a-z/]+)` `(Benchmark\\w+)`$")

// slope takes a measured slope in.
func (r tableRow) checkSlope(exists func(dir, name string) bool) {
	name := r.name("slope")
	r.define(name, r.number("is"))
	if noise := r.number("±"); noise < 0 || math.IsNaN(noise) {
		r.addProblem("%s: the noise is %v", name, noise)
	}
	if m := benchmarkCell.FindStringSubmatch(r.cell("benchmark")); m == nil {
		r.addProblem("%s: %q names no benchmark of a package", name, r.cell("benchmark"))
	} else if !exists(m[1], m[2]) {
		r.addProblem("%s: there is no %s in %s", name, m[2], m[1])
	}
	from, to := r.number("from"), r.number("to")
	if from < to && to < 100*from {
		r.addProblem("%s: measured from %v to %v, want two orders of magnitude", name, from, to)
	}
	by := r.cell("by")
	if by == "-" { // the same at any size that was measured
		return
	}
	at := r.compute(by)
	if times := at / to; times > extrapolationFactor {
		r.extrapolated[name] = true
		if !approximatelyEqual(r.number("beyond"), times) {
			r.addProblem("%s is used %.4g times beyond what was measured, and the page says %s", name, times, r.cell("beyond"))
		}
	} else if r.cell("beyond") != "-" {
		r.addProblem("%s is used %.3g times beyond what was measured, and the page says %s", name, times, r.cell("beyond"))
	}
}

// result checks a row; ordinary says that it is one of an ordinary day.
func (r tableRow) checkResult(ordinary bool) {
	name := r.cells[0]
	computed := r.compute(r.cell("formula"))
	if !approximatelyEqual(r.number("result"), computed) {
		r.addProblem("%s: the result is %s, and %s comes to %.4g", name, r.cell("result"), r.cell("formula"), computed)
	}
	allowance, times, status := r.cell("allowance"), r.cell("times"), r.cell("status")
	if allowance == "-" {
		if times != "-" || status != "-" {
			r.addProblem("%s: without an allowance it is neither over nor under, nor has it a status", name)
		}
		return
	}
	over := computed / r.compute(allowance)
	stated, direction, _ := strings.Cut(times, " ")
	switch n := r.parse(stated); {
	case over > 1 && (direction != "over" || !approximatelyEqual(n, over)):
		r.addProblem("%s is %.4g times over its allowance, and the page says %q", name, over, times)
	case over <= 1 && (direction != "under" || !approximatelyEqual(n, 1/over)):
		r.addProblem("%s is %.4g times under its allowance, and the page says %q", name, 1/over, times)
	}
	switch {
	case status == "stands" && over > 1, status == "missing" && over <= 1:
		r.addProblem("%s: %q does not go with %q", name, status, times)
	case status != "stands" && status != "partly" && status != "missing":
		r.addProblem("%s: %q is no status", name, status)
	}
	if r.cell("mechanism") == "" || r.cell("mechanism") == "-" {
		r.addProblem("%s names no mechanism", name)
	}
	if ordinary && status != "stands" {
		r.shortfalls = append(r.shortfalls, shortfall{name, r.cell("mechanism"), over})
	}
}

// table is one of the page.
type table struct {
	columns []string
	rows    [][]string
}

// tables are those of a page, in their order.
func parseTables(text string) (all []table) {
	inside := false
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			inside = false
			continue
		}
		var cells []string
		for c := range strings.SplitSeq(strings.Trim(line, "|"), "|") {
			cells = append(cells, strings.TrimSpace(c))
		}
		switch {
		case !inside:
			all, inside = append(all, table{columns: cells}), true
		case strings.HasPrefix(cells[0], "---"):
		default:
			t := &all[len(all)-1]
			t.rows = append(t.rows, cells)
		}
	}
	return all
}
