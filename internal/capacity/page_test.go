package capacity

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// root is the root directory of the module.
const root = "../.."

// findBenchmarks returns the set of all benchmarks in the module, by package directory and name.
func findBenchmarks(t *testing.T) map[[2]string]bool {
	t.Helper()
	all := map[[2]string]bool{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (strings.HasPrefix(d.Name(), ".") && d.Name() != ".." || d.Name() == "journal" && filepath.Dir(path) == root) {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		dir, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		for _, d := range f.Decls {
			if fn, ok := d.(*ast.FuncDecl); ok && fn.Recv == nil && strings.HasPrefix(fn.Name.Name, "Benchmark") {
				all[[2]string{filepath.ToSlash(dir), fn.Name.Name}] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// TestCapacityPageIsConsistent guards against a page whose numbers no longer follow from its formulas, or that names benchmarks
// that don't exist.
func TestCapacityPageIsConsistent(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(root, "docs", "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	known := findBenchmarks(t)
	for _, problem := range check(string(text), func(dir, name string) bool { return known[[2]string{dir, name}] }) {
		t.Error(problem)
	}
}

// consistentPage is a small page without inconsistencies.
const consistentPage = "| value | formula | is | unit | from |\n| --- | --- | --- | --- | --- |\n" +
	"| `events` | - | 510,000 | /s | given |\n| `relays` | - | 2,000 | | given |\n| `each` | `events / relays` | 255 | /s | arithmetic |\n" +
	"| `held` | - | 17e6 | messages | given |\n| `most` | - | 1 | ms | assumed |\n| `core` | - | 1,000 | ms/s | assumed |\n\n" +
	"| slope | is | ± | unit | by | from | to | beyond | benchmark |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n" +
	"| `walk` | 66.4 | 3 | ns | `held` | 100 | 100,000 | 170 | `choice` `BenchmarkOne` |\n" +
	"| `message` | 250 | 5 | us | - | 200 | 200 | - | `internal/relay` `BenchmarkTwo` |\n\n" +
	"| row | formula | result | unit | allowance | times | mechanism | status |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n" +
	"| decisions | `walk * held / 1e6` | 1,129 | ms | `most` | 1,129 over | windows | missing |\n" +
	"| copies | `2 * most` | 2 | ms | `most` | 2 over | segments | partly |\n" +
	"| calls | `each * message / 1000` | 63.8 | ms/s | `core` | 15.7 under | the loop | stands |\n" +
	"| list | `held` | 17,000,000 | | - | - | - | - |\n\n" +
	"| failure | formula | result | unit | allowance | times | mechanism | status |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n" +
	"| machine | `10 * most` | 10 | ms | `most` | 10 over | heirs | missing |\n\n" +
	"| mechanism | times over | what |\n| --- | --- | --- |\n| windows | 1,129 | a |\n| segments | 2 | b |\n\n" +
	"| extrapolated | times | why |\n| --- | --- | --- |\n| `walk` | 170 | c |\n"

// TestCheckReportsInconsistencies guards against a check that misses an inconsistency: each case introduces one into a consistent
// page and expects a problem that names it.
func TestCheckReportsInconsistencies(t *testing.T) {
	exists := func(dir, name string) bool {
		return dir == "choice" && name == "BenchmarkOne" || dir == "internal/relay" && name == "BenchmarkTwo"
	}
	if problems := check(consistentPage, exists); len(problems) > 0 {
		t.Fatalf("a consistent page has problems: %q", problems)
	}
	for name, c := range map[string]struct{ old, new, want string }{
		"a value that is not its formula's":  {"| 255 |", "| 265 |", "each is 265"},
		"a value from nowhere":               {"| 1 | ms | assumed |", "| 1 | ms | |", "most: it is not said where it is from"},
		"a result after its slope has moved": {"| 66.4 |", "| 86.4 |", "decisions: the result is 1,129"},
		"a result":                           {"| 63.8 |", "| 73.8 |", "calls: the result is 73.8"},
		"how many times over":                {"1,129 over", "1,029 over", "decisions is 1129 times over"},
		"over for under":                     {"15.7 under", "15.7 over", "calls is 15.69 times under"},
		"a status that is better":            {"| windows | missing |", "| windows | stands |", `decisions: "stands" does not go with`},
		"a status that is worse":             {"| the loop | stands |", "| the loop | missing |", `calls: "missing" does not go with`},
		"no status":                          {"| the loop | stands |", "| the loop | soon |", `calls: "soon" is no status`},
		"no mechanism":                       {"| the loop | stands |", "| - | stands |", "calls names no mechanism"},
		"a status without an allowance":      {"| - | - | - | - |\n\n| failure", "| - | - | - | stands |\n\n| failure", "list: without an allowance"},
		"a name that is not defined":         {"`each * message / 1000`", "`each * massage / 1000`", "unknown name massage"},
		"a name defined twice":               {"| `core` | - |", "| `most` | - |", "most is defined twice"},
		"a benchmark that is not there":      {"BenchmarkTwo", "BenchmarkThree", "message: there is no BenchmarkThree in internal/relay"},
		"a benchmark of another package":     {"`choice` `BenchmarkOne`", "`internal/relay` `BenchmarkOne`", "walk: there is no BenchmarkOne in internal/relay"},
		"a slope without a benchmark":        {"`choice` `BenchmarkOne`", "a look", "walk: \"a look\" names no benchmark"},
		"a slope without noise":              {"| 66.4 | 3 |", "| 66.4 | |", "`walk`: \"\" is no number"},
		"a range that shows no curve":        {"| 100 | 100,000 | 170 |", "| 50,000 | 100,000 | 170 |", "want two orders of magnitude"},
		"how far beyond what was measured":   {"| 100,000 | 170 |", "| 100,000 | 17 |", "walk is used 170 times beyond"},
		"beyond a tenfold, and not said":     {"| `walk` | 170 | c |\n", "", "walk is used beyond a tenfold, and not listed"},
		"extrapolated, and not":              {"| `walk` | 170 | c |", "| `walk` | 170 | c |\n| `message` | 17 | c |", "message is listed as extrapolated"},
		"the order":                          {"| windows | 1,129 | a |\n| segments | 2 | b |", "| segments | 2 | b |\n| windows | 1,129 | a |", "windows stands after one that is over by less"},
		"a figure in the order":              {"| segments | 2 | b |", "| segments | 3 | b |", "segments: 3 times over in the order"},
		"missing, and not in the order":      {"| segments | 2 | b |\n", "", "segments is 2 times over, and not in the order"},
		"in the order, and not missing":      {"| segments | 2 | b |", "| segments | 2 | b |\n| heirs | 10 | c |", "heirs is in the order"},
		"a failure's result":                 {"| 10 | ms |", "| 11 | ms |", "machine: the result is 11"},
		"a cell too few":                     {"| 63.8 | ms/s |", "| 63.8 |", "calls: 7 cells where the head has 8"},
		"a missing table":                    {"| failure | formula", "| gone | formula", `there is no table of kind "failure"`},
	} {
		if n := strings.Count(consistentPage, c.old); n != 1 {
			t.Errorf("%s: %q occurs %d times in the page, want once", name, c.old, n)
		}
		problems := check(strings.Replace(consistentPage, c.old, c.new, 1), exists)
		if !strings.Contains(strings.Join(problems, "\n"), c.want) {
			t.Errorf("%s: found %q, want %q", name, problems, c.want)
		}
	}
}
