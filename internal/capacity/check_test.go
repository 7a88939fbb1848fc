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
	valuesTable  = "value"        // named values: given, or by a formula from others
	slopesTable  = "slope"        // measured, each by a benchmark
	rowsTable    = "row"          // what a role takes, against an allowance
	failureTable = "failure"      // the same while something fails; out of the order
	orderTable   = "mechanism"    // what is missing, by how many times over
	farTable     = "extrapolated" // slopes used far beyond what was measured
)

// far is how many times a slope may be used beyond what was measured before the page has to say so.
const far = 10

// page is what the tables of the page say.
type page struct {
	values   map[string]float64
	slopes   map[string]bool
	problems []string
	rows     []row
	order    []row // as stated: mechanism and times
	far      map[string]bool
	stated   map[string]bool // to be far
}

// row is what one mechanism is over by, as recomputed.
type row struct {
	name, mechanism string
	over            float64
}

func (p *page) say(format string, args ...any) {
	p.problems = append(p.problems, fmt.Sprintf(format, args...))
}

// check returns what does not follow in a page. Exists tells whether a package has a benchmark.
func check(text string, exists func(dir, name string) bool) []string {
	p := &page{values: map[string]float64{}, slopes: map[string]bool{}, far: map[string]bool{}, stated: map[string]bool{}}
	seen := map[string]int{}
	for _, t := range tables(text) {
		seen[t.head[0]]++
		for _, cells := range t.rows {
			r := record{p, cells, t.head}
			if len(cells) != len(t.head) {
				p.say("%s: %d cells where the head has %d", cells[0], len(cells), len(t.head))
				continue
			}
			switch t.head[0] {
			case valuesTable:
				r.value()
			case slopesTable:
				r.slope(exists)
			case rowsTable, failureTable:
				r.result(t.head[0] == rowsTable)
			case orderTable:
				p.order = append(p.order, row{mechanism: r.cell("mechanism"), over: r.number("times over")})
			case farTable:
				p.stated[r.name("extrapolated")] = true
			}
		}
	}
	for _, kind := range []string{valuesTable, slopesTable, rowsTable, failureTable, orderTable, farTable} {
		if seen[kind] == 0 {
			p.say("there is no table of kind %q", kind)
		}
	}
	p.ordered()
	for name := range p.far {
		if !p.stated[name] {
			p.say("%s is used beyond a tenfold, and not listed as extrapolated", name)
		}
	}
	for name := range p.stated {
		if !p.far[name] {
			p.say("%s is listed as extrapolated, and is not used beyond a tenfold", name)
		}
	}
	slices.Sort(p.problems)
	return p.problems
}

// ordered checks the order of what is missing: by the most that a row of each mechanism is over.
func (p *page) ordered() {
	most := map[string]float64{}
	for _, r := range p.rows {
		most[r.mechanism] = max(most[r.mechanism], r.over)
	}
	maps.DeleteFunc(most, func(_ string, over float64) bool { return over <= 1 })
	last := math.Inf(1)
	for _, o := range p.order {
		over, ok := most[o.mechanism]
		switch {
		case !ok:
			p.say("%s is in the order, and no row of an ordinary day is over for want of it", o.mechanism)
		case !near(o.over, over):
			p.say("%s: %v times over in the order, by the rows %.4g", o.mechanism, o.over, over)
		case over > last*1.01:
			p.say("%s stands after one that is over by less", o.mechanism)
		}
		last = min(last, over)
		delete(most, o.mechanism)
	}
	for name, over := range most {
		p.say("%s is %.4g times over, and not in the order", name, over)
	}
}

// record is a table's row, by the names of its columns.
type record struct {
	*page
	cells, head []string
}

func (r record) cell(column string) string {
	i := slices.Index(r.head, column)
	if i < 0 {
		r.say("%s: there is no column %q", r.cells[0], column)
		return ""
	}
	return r.cells[i]
}

func (r record) name(column string) string { return strings.Trim(r.cell(column), "`") }

// number reads a cell as a number.
func (r record) number(column string) float64 { return r.parse(r.cell(column)) }

func (r record) parse(text string) float64 {
	n, err := strconv.ParseFloat(strings.ReplaceAll(text, ",", ""), 64)
	if err != nil {
		r.say("%s: %q is no number", r.cells[0], text)
		return math.NaN()
	}
	return n
}

// compute is what a formula comes to.
func (r record) compute(formula string) float64 {
	env := map[string]any{}
	for name, v := range r.values {
		env[name] = v
	}
	var program *vm.Program
	program, err := expr.Compile(strings.Trim(formula, "`"), expr.Env(env), expr.AsFloat64())
	if err != nil {
		r.say("%s: %s: %v", r.cells[0], formula, err)
		return math.NaN()
	}
	out, err := expr.Run(program, env)
	if err != nil {
		r.say("%s: %s: %v", r.cells[0], formula, err)
		return math.NaN()
	}
	return out.(float64)
}

// near tells whether a stated number is another to three digits.
func near(stated, n float64) bool { return math.Abs(stated-n) <= 0.006*math.Abs(n) }

// define names a value for the formulas that follow.
func (r record) define(name string, v float64) {
	if _, ok := r.values[name]; ok {
		r.say("%s is defined twice", name)
	}
	r.values[name] = v
}

// value takes a named value in.
func (r record) value() {
	v := r.number("is")
	if f := r.cell("formula"); f != "-" {
		if n := r.compute(f); !near(v, n) {
			r.say("%s is %v, and %s comes to %.4g", r.name("value"), v, f, n)
		}
	}
	if r.cell("from") == "" {
		r.say("%s: it is not said where it is from", r.name("value"))
	}
	r.define(r.name("value"), v)
}

var benchmarkCell = regexp.MustCompile("^`([a-z/]+)` `(Benchmark\\w+)`$")

// slope takes a measured slope in.
func (r record) slope(exists func(dir, name string) bool) {
	name := r.name("slope")
	r.define(name, r.number("is"))
	if noise := r.number("±"); noise < 0 || math.IsNaN(noise) {
		r.say("%s: the noise is %v", name, noise)
	}
	if m := benchmarkCell.FindStringSubmatch(r.cell("benchmark")); m == nil {
		r.say("%s: %q names no benchmark of a package", name, r.cell("benchmark"))
	} else if !exists(m[1], m[2]) {
		r.say("%s: there is no %s in %s", name, m[2], m[1])
	}
	from, to := r.number("from"), r.number("to")
	if from < to && to < 100*from {
		r.say("%s: measured from %v to %v, want two orders of magnitude", name, from, to)
	}
	by := r.cell("by")
	if by == "-" { // the same at any size that was measured
		return
	}
	at := r.compute(by)
	if times := at / to; times > far {
		r.far[name] = true
		if !near(r.number("beyond"), times) {
			r.say("%s is used %.4g times beyond what was measured, and the page says %s", name, times, r.cell("beyond"))
		}
	} else if r.cell("beyond") != "-" {
		r.say("%s is used %.3g times beyond what was measured, and the page says %s", name, times, r.cell("beyond"))
	}
}

// result checks a row; ordinary says that it is one of an ordinary day.
func (r record) result(ordinary bool) {
	name := r.cells[0]
	is := r.compute(r.cell("formula"))
	if !near(r.number("result"), is) {
		r.say("%s: the result is %s, and %s comes to %.4g", name, r.cell("result"), r.cell("formula"), is)
	}
	allowance, times, status := r.cell("allowance"), r.cell("times"), r.cell("status")
	if allowance == "-" {
		if times != "-" || status != "-" {
			r.say("%s: without an allowance it is neither over nor under, nor has it a status", name)
		}
		return
	}
	over := is / r.compute(allowance)
	stated, way, _ := strings.Cut(times, " ")
	switch n := r.parse(stated); {
	case over > 1 && (way != "over" || !near(n, over)):
		r.say("%s is %.4g times over its allowance, and the page says %q", name, over, times)
	case over <= 1 && (way != "under" || !near(n, 1/over)):
		r.say("%s is %.4g times under its allowance, and the page says %q", name, 1/over, times)
	}
	switch {
	case status == "stands" && over > 1, status == "missing" && over <= 1:
		r.say("%s: %q does not go with %q", name, status, times)
	case status != "stands" && status != "partly" && status != "missing":
		r.say("%s: %q is no status", name, status)
	}
	if r.cell("mechanism") == "" || r.cell("mechanism") == "-" {
		r.say("%s names no mechanism", name)
	}
	if ordinary && status != "stands" {
		r.rows = append(r.rows, row{name, r.cell("mechanism"), over})
	}
}

// table is one of the page.
type table struct {
	head []string
	rows [][]string
}

// tables are those of a page, in their order.
func tables(text string) (all []table) {
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
			all, inside = append(all, table{head: cells}), true
		case strings.HasPrefix(cells[0], "---"):
		default:
			t := &all[len(all)-1]
			t.rows = append(t.rows, cells)
		}
	}
	return all
}
