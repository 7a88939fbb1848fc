// Package capacity consists of tests that check docs/CAPACITY.md: each result follows from the page's slopes and assumptions by
// its formula, each statement about an allowance follows from the result, and each benchmark that the page names exists.
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

// Kinds of tables on the page, by the first cell of their header row.
const (
	valuesTable       = "value"        // named values: given, or computed from others by a formula
	slopesTable       = "slope"        // cost slopes, each measured by a benchmark
	rowsTable         = "row"          // what a role uses, compared with an allowance
	failureTable      = "failure"      // the same during a failure; not part of the order
	orderTable        = "mechanism"    // missing mechanisms, ordered by how many times their rows exceed the allowance
	extrapolatedTable = "extrapolated" // slopes used more than extrapolationFactor times beyond the measured range
)

// extrapolationFactor is how many times beyond the measured range a slope may be used before the page has to list it as
// extrapolated.
const extrapolationFactor = 10

// page holds the content of the page's tables, and the problems found in them.
type page struct {
	values             map[string]float64
	slopes             map[string]bool
	problems           []string
	shortfalls         []shortfall
	statedOrder        []shortfall // as the page states it: mechanism and timesOver only
	extrapolated       map[string]bool
	statedExtrapolated map[string]bool // slopes that the page lists as extrapolated
}

// shortfall states how many times a row of a mechanism exceeds its allowance; below 1 if it doesn't.
type shortfall struct {
	name, mechanism string
	timesOver       float64
}

// addProblem records a problem for the result of check.
func (p *page) addProblem(format string, args ...any) {
	p.problems = append(p.problems, fmt.Sprintf(format, args...))
}

// check returns the inconsistencies of a page, sorted. The function exists reports whether a package has a benchmark.
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

// checkOrder checks that the page orders the missing mechanisms by the largest excess among the rows of each.
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
			p.addProblem("%s is in the order, but no row of an ordinary day exceeds its allowance for lack of it", o.mechanism)
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

// tableRow gives access to the cells of a table's row by the names of the columns.
type tableRow struct {
	*page
	cells, columns []string
}

// cell returns the cell in a column; a missing column is a problem.
func (r tableRow) cell(column string) string {
	i := slices.Index(r.columns, column)
	if i < 0 {
		r.addProblem("%s: there is no column %q", r.cells[0], column)
		return ""
	}
	return r.cells[i]
}

// name returns the cell in a column without its backquotes.
func (r tableRow) name(column string) string { return strings.Trim(r.cell(column), "`") }

// number returns the cell in a column as a number.
func (r tableRow) number(column string) float64 { return r.parse(r.cell(column)) }

// parse parses a number with commas between thousands; it returns NaN and records a problem if the text is not one.
func (r tableRow) parse(text string) float64 {
	n, err := strconv.ParseFloat(strings.ReplaceAll(text, ",", ""), 64)
	if err != nil {
		r.addProblem("%s: %q is no number", r.cells[0], text)
		return math.NaN()
	}
	return n
}

// compute evaluates a formula over the values defined so far; it returns NaN and records a problem if that fails.
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

// approximatelyEqual reports whether a stated number equals a computed one to about three digits.
func approximatelyEqual(stated, computed float64) bool {
	return math.Abs(stated-computed) <= 0.006*math.Abs(computed)
}

// define makes a value available to the formulas that follow; a second definition of a name is a problem.
func (r tableRow) define(name string, value float64) {
	if _, ok := r.values[name]; ok {
		r.addProblem("%s is defined twice", name)
	}
	r.values[name] = value
}

// checkValue checks a row of the table of values and defines its value.
func (r tableRow) checkValue() {
	value := r.number("is")
	if f := r.cell("formula"); f != "-" {
		if n := r.compute(f); !approximatelyEqual(value, n) {
			r.addProblem("%s is %v, and %s comes to %.4g", r.name("value"), value, f, n)
		}
	}
	if r.cell("from") == "" {
		r.addProblem("%s: it is not said where it is from", r.name("value"))
	}
	r.define(r.name("value"), value)
}

// benchmarkCell matches a cell that names a package's directory and a benchmark.
var benchmarkCell = regexp.MustCompile("^`([a-z/]+)` `(Benchmark\\w+)`$")

// checkSlope checks a row of the table of slopes and defines its slope.
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
	if by == "-" { // the slope is the same at any size that was measured
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

// checkResult checks a row with a result; ordinary is true for a row of an ordinary day and false for one of a failure.
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

// table is one table of the page.
type table struct {
	columns []string
	rows    [][]string
}

// parseTables returns the tables of a page in order.
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
