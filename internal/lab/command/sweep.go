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

// setting is a key of a scenario with the values that a sweep gives it.
type setting struct {
	key    string
	values []string
}

// parseSetting parses the value of a --set flag.
func parseSetting(text string) (setting, error) {
	key, values, ok := strings.Cut(text, "=")
	if !ok || key == "" || values == "" {
		return setting{}, fmt.Errorf("--set %q: want KEY=VALUE,VALUE, as in load.rate=50,100", text)
	}
	return setting{key, strings.Split(values, ",")}, nil
}

// withSettings returns the text of a scenario in which the keys have other values.
func withSettings(data []byte, keys, values []string) ([]byte, error) {
	var document map[string]any
	if err := toml.Unmarshal(data, &document); err != nil {
		return nil, err
	}
	for i, key := range keys {
		if err := setKey(document, strings.Split(key, "."), parseValue(values[i])); err != nil {
			return nil, fmt.Errorf("--set %s: %w", key, err)
		}
	}
	return toml.Marshal(document)
}

// parseValue parses a value as TOML; a value that is not valid TOML is a string.
func parseValue(text string) any {
	var document struct{ V any }
	if toml.Unmarshal([]byte("V = "+text), &document) == nil {
		return document.V
	}
	return text
}

// setKey sets the value at a path in a document of TOML, such as load.rate, or fault.0.for in a list of tables.
func setKey(node any, path []string, value any) error {
	switch node := node.(type) {
	case map[string]any:
		if len(path) == 1 {
			if old, ok := node[path[0]]; ok { // convert an integer where the file has a float
				if _, isFloat := old.(float64); isFloat {
					if integer, isInt := value.(int64); isInt {
						value = float64(integer)
					}
				}
			}
			node[path[0]] = value
			return nil
		}
		next, ok := node[path[0]]
		if !ok {
			next = map[string]any{}
			node[path[0]] = next
		}
		return setKey(next, path[1:], value)
	case []any:
		index, err := strconv.Atoi(path[0])
		if err != nil || index < 0 || index >= len(node) || len(path) < 2 {
			return fmt.Errorf("%q must be the index of one of %d tables, followed by a key", path[0], len(node))
		}
		return setKey(node[index], path[1:], value)
	}
	return fmt.Errorf("%q is not inside a table", strings.Join(path, "."))
}

// allCombinations returns all ways to take one value of each setting.
func allCombinations(settings []setting) [][]string {
	rows := [][]string{nil}
	for _, setting := range settings {
		var next [][]string
		for _, row := range rows {
			for _, value := range setting.values {
				next = append(next, append(append([]string(nil), row...), value))
			}
		}
		rows = next
	}
	return rows
}

// unsafeFileChars matches what is replaced by _ in file names.
var unsafeFileChars = regexp.MustCompile(`[^A-Za-z0-9.=_-]+`)

func newSweep(out io.Writer) *cobra.Command {
	var setFlags []string
	var seeds int
	var reportDir string
	var noBuild bool
	command := &cobra.Command{Use: "sweep FILE.toml --set KEY=VALUE,VALUE", Short: "Run a scenario with several values of its keys, and several seeds",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return &codedError{exitUsage, err}
			}
			var settings []setting
			var keys []string
			for _, text := range setFlags {
				parsed, err := parseSetting(text)
				if err != nil {
					return &codedError{exitUsage, err}
				}
				settings, keys = append(settings, parsed), append(keys, parsed.key)
			}
			if seeds < 1 || reportDir == "" {
				return &codedError{exitUsage, errors.New("sweep needs --seeds of at least 1 and --report")}
			}
			type point struct {
				name     string
				scenario *scenario.Scenario
			}
			var points []point
			keepers := 0
			for _, values := range allCombinations(settings) {
				text, err := withSettings(data, keys, values)
				if err != nil {
					return &codedError{exitUsage, err}
				}
				spec, err := scenario.Parse(text)
				if err != nil {
					return &codedError{exitUsage, fmt.Errorf("%s with %v: %w", args[0], values, err)}
				}
				var name []string
				for i, key := range keys {
					name = append(name, key+"="+values[i])
				}
				points = append(points, point{strings.Join(name, " "), spec})
				keepers = max(keepers, spec.Fleet.Keepers)
			}
			options, err := prepareOptions(command.Context(), noBuild, keepers)
			if err != nil {
				return &codedError{exitError, err}
			}
			var broken int
			var summary []report.Set
			for _, point := range points {
				set := report.Set{Name: point.name}
				firstSeed := point.scenario.Seed
				for i := range seeds {
					point.scenario.Seed = firstSeed + uint64(i)
					result, err := lab.Run(command.Context(), copyScenario(point.scenario), options)
					if err != nil {
						return &codedError{exitError, err}
					}
					if command.Context().Err() != nil {
						return &codedError{exitError, errors.New("interrupted")}
					}
					set.Runs = append(set.Runs, result)
					fmt.Fprintf(out, "%s seed %d: %s\n", point.name, point.scenario.Seed, result.Report)
					if result.VoidReason != "" {
						fmt.Fprintln(out, "void:", result.VoidReason)
					}
					broken += result.Report.Total()
					runDir := filepath.Join(reportDir, unsafeFileChars.ReplaceAllString(fmt.Sprintf("%s_seed=%d", point.name, point.scenario.Seed), "_"))
					if err := report.Write(runDir, result); err != nil {
						return &codedError{exitError, err}
					}
				}
				if err := report.WriteJSON(filepath.Join(reportDir, unsafeFileChars.ReplaceAllString("set_"+point.name, "_")+".json"), set); err != nil {
					return &codedError{exitError, err}
				}
				summary = append(summary, set)
			}
			if err := report.Table(out, summary); err != nil {
				return &codedError{exitError, err}
			}
			if broken > 0 {
				return &codedError{exitFailed, fmt.Errorf("rules broken %d times", broken)}
			}
			return nil
		}}
	command.Flags().StringArrayVar(&setFlags, "set", nil, "a key of the file with its values; several such flags are combined")
	command.Flags().IntVar(&seeds, "seeds", 1, "number of seeds for each combination, starting with the file's seed")
	command.Flags().StringVar(&reportDir, "report", "", "directory for the reports")
	command.Flags().BoolVar(&noBuild, "no-build", false, "do not build; start the existing binaries")
	return command
}

// copyScenario returns a copy whose seed does not change with the next run's.
func copyScenario(s *scenario.Scenario) *scenario.Scenario {
	c := *s
	return &c
}

func newDiff(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "diff A.json B.json", Short: "Compare two results, or two sets of a sweep", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			first, err := report.Read(args[0])
			if err != nil {
				return &codedError{exitUsage, err}
			}
			second, err := report.Read(args[1])
			if err != nil {
				return &codedError{exitUsage, err}
			}
			return report.Diff(out, first, second)
		}}
}
