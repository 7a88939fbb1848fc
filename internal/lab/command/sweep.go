package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"larchrouter/internal/lab"
	"larchrouter/internal/lab/report"
	"larchrouter/internal/lab/scenario"
)

// setting is one key of a scenario with the values that a sweep gives it.
type setting struct {
	key    string
	values []string
}

func parseSetting(text string) (setting, error) {
	key, values, ok := strings.Cut(text, "=")
	if !ok || key == "" || values == "" {
		return setting{}, fmt.Errorf("--set %q: want KEY=VALUE,VALUE, as in load.rate=50,100", text)
	}
	return setting{key, strings.Split(values, ",")}, nil
}

// with is the text of a scenario in which keys have other values.
func with(data []byte, keys, values []string) ([]byte, error) {
	var file map[string]any
	if err := toml.Unmarshal(data, &file); err != nil {
		return nil, err
	}
	for i, key := range keys {
		if err := assign(file, strings.Split(key, "."), literal(values[i])); err != nil {
			return nil, fmt.Errorf("--set %s: %w", key, err)
		}
	}
	return toml.Marshal(file)
}

// literal reads a value as TOML has it; what is none is a string.
func literal(text string) any {
	var v struct{ V any }
	if toml.Unmarshal([]byte("V = "+text), &v) == nil {
		return v.V
	}
	return text
}

// assign sets load.rate, or fault.0.for of a list of tables.
func assign(at any, path []string, v any) error {
	switch at := at.(type) {
	case map[string]any:
		if len(path) == 1 {
			if old, ok := at[path[0]]; ok { // a whole number where the file has a fraction
				if _, isFloat := old.(float64); isFloat {
					if n, isInt := v.(int64); isInt {
						v = float64(n)
					}
				}
			}
			at[path[0]] = v
			return nil
		}
		next, ok := at[path[0]]
		if !ok {
			next = map[string]any{}
			at[path[0]] = next
		}
		return assign(next, path[1:], v)
	case []any:
		i, err := strconv.Atoi(path[0])
		if err != nil || i < 0 || i >= len(at) || len(path) < 2 {
			return fmt.Errorf("%q is none of %d tables", path[0], len(at))
		}
		return assign(at[i], path[1:], v)
	}
	return fmt.Errorf("%q stands under what is no table", strings.Join(path, "."))
}

// combinations are all ways to take one value of each setting.
func combinations(all []setting) [][]string {
	rows := [][]string{nil}
	for _, s := range all {
		var next [][]string
		for _, row := range rows {
			for _, v := range s.values {
				next = append(next, append(append([]string(nil), row...), v))
			}
		}
		rows = next
	}
	return rows
}

var unsafeName = regexp.MustCompile(`[^A-Za-z0-9.=_-]+`)

func newSweep(out io.Writer) *cobra.Command {
	var sets []string
	var seeds int
	var dir string
	var noBuild bool
	c := &cobra.Command{Use: "sweep FILE.toml --set KEY=VALUE,VALUE", Short: "Play a scenario with several values of its keys, and several seeds",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return &exit{wrongFile, err}
			}
			var all []setting
			var keys []string
			for _, text := range sets {
				s, err := parseSetting(text)
				if err != nil {
					return &exit{wrongFile, err}
				}
				all, keys = append(all, s), append(keys, s.key)
			}
			if seeds < 1 || dir == "" {
				return &exit{wrongFile, errors.New("sweep wants --seeds of 1 at least and --report")}
			}
			type point struct {
				name string
				s    *scenario.Scenario
			}
			var points []point
			keepers := 0
			for _, values := range combinations(all) {
				text, err := with(data, keys, values)
				if err != nil {
					return &exit{wrongFile, err}
				}
				s, err := scenario.Parse(text)
				if err != nil {
					return &exit{wrongFile, fmt.Errorf("%s with %v: %w", args[0], values, err)}
				}
				var name []string
				for i, k := range keys {
					name = append(name, k+"="+values[i])
				}
				points = append(points, point{strings.Join(name, " "), s})
				keepers = max(keepers, s.Fleet.Keepers)
			}
			o, err := built(c.Context(), noBuild, keepers)
			if err != nil {
				return &exit{stuck, err}
			}
			var broken int
			var sum []report.Set
			for _, p := range points {
				set := report.Set{Name: p.name}
				first := p.s.Seed
				for i := range seeds {
					p.s.Seed = first + uint64(i)
					r, err := lab.Run(c.Context(), copyOf(p.s), o)
					if err != nil {
						return &exit{stuck, err}
					}
					if c.Context().Err() != nil {
						return &exit{stuck, errors.New("interrupted")}
					}
					set.Runs = append(set.Runs, r)
					fmt.Fprintf(out, "%s seed %d: %s\n", p.name, p.s.Seed, r.Report)
					if r.VoidReason != "" {
						fmt.Fprintln(out, "void:", r.VoidReason)
					}
					broken += r.Report.Total()
					sub := filepath.Join(dir, unsafeName.ReplaceAllString(fmt.Sprintf("%s_seed=%d", p.name, p.s.Seed), "_"))
					if err := report.Write(sub, r); err != nil {
						return &exit{stuck, err}
					}
				}
				if err := report.WriteJSON(filepath.Join(dir, unsafeName.ReplaceAllString("set_"+p.name, "_")+".json"), set); err != nil {
					return &exit{stuck, err}
				}
				sum = append(sum, set)
			}
			if err := report.Table(out, sum); err != nil {
				return &exit{stuck, err}
			}
			if broken > 0 {
				return &exit{failed, fmt.Errorf("rules broken %d times", broken)}
			}
			return nil
		}}
	c.Flags().StringArrayVar(&sets, "set", nil, "a key of the file with its values; several are combined")
	c.Flags().IntVar(&seeds, "seeds", 1, "seeds for each, from the file's on")
	c.Flags().StringVar(&dir, "report", "", "folder for the reports")
	c.Flags().BoolVar(&noBuild, "no-build", false, "start what is built already")
	return c
}

// copyOf keeps a run's scenario from the next one's seed.
func copyOf(s *scenario.Scenario) *scenario.Scenario {
	c := *s
	return &c
}

func newDiff(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "diff A.json B.json", Short: "Set two results, or two sets of a sweep, side by side", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			a, err := report.Read(args[0])
			if err != nil {
				return &exit{wrongFile, err}
			}
			b, err := report.Read(args[1])
			if err != nil {
				return &exit{wrongFile, err}
			}
			return report.Diff(out, a, b)
		}}
}
