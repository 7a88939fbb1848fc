package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"os"
	"path/filepath"

	"larchrouter/internal/lab"
	"larchrouter/internal/lab/rules"
)

// pageTemplate is the HTML page of a run. It contains its plots and loads nothing else. Its fields are looked up by
// name when it is executed.
var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width">
<title>{{.R.Scenario.Name}}</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 62em; padding: 0 1em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; } td, th { border: 1px solid #ccc; padding: .25em .7em; text-align: left; }
td.n { text-align: right; font-variant-numeric: tabular-nums; }
.bad { color: #a00; font-weight: 600; } .good { color: #060; font-weight: 600; }
svg { max-width: 100%; height: auto; } figure { margin: 1.5em 0; } figcaption { color: #555; }
pre { background: #f5f5f5; padding: .7em; overflow-x: auto; font-size: 12px; }
</style></head><body>
<h1>{{.R.Scenario.Name}}</h1>
<p>Seed {{.R.Scenario.Seed}}, {{.R.Scenario.Fleet.Relays}} relays, {{.R.Scenario.Platform.Destinations}} destinations, {{.R.Scenario.Load.Rate}} messages a second for {{.R.Scenario.Duration}}.</p>
{{if .R.VoidReason}}<p class="bad">Void: {{.R.VoidReason}}.</p>
{{else if .R.Failures}}<p class="bad">Not held:</p><ul>{{range .R.Failures}}<li>{{.Expectation}}: {{.Text}}</li>{{end}}</ul>
{{else}}<p class="good">Every expectation held.</p>{{end}}
<table>
{{range .Rows}}<tr><th>{{.Name}}</th><td class="n">{{.Value}}</td></tr>
{{end}}</table>
{{if .R.Faults}}<h2>Faults</h2><table><tr><th>from</th><th>to</th><th></th></tr>
{{range .R.Faults}}<tr><td class="n">{{printf "%.1f s" .From}}</td><td class="n">{{printf "%.1f s" .To}}</td><td>{{.Text}}</td></tr>
{{end}}</table>{{end}}
<h2>Rules</h2><table><tr><th>rule</th><th>checked</th><th>broken</th></tr>
{{range .Rules}}<tr><td>{{.Name}}</td><td class="n">{{.Checked}}</td><td class="n{{if .Broken}} bad{{end}}">{{.Broken}}</td></tr>
{{end}}</table>
{{range .R.Report.Violations}}<h3 class="bad">{{.Rule}}</h3><p>{{.}}</p><pre>{{range .Events}}{{.}}
{{end}}</pre>{{end}}
<h2>Plots</h2>
{{range .Figures}}<figure>{{.SVG}}<figcaption>{{.Note}}</figcaption></figure>
{{end}}
<h2>Processes</h2><table><tr><th></th><th>processor time, s</th><th>memory, MB</th><th>descriptors</th><th>disk, MB</th></tr>
{{range $name, $u := .R.Report.Usage}}<tr><td>{{$name}}</td><td class="n">{{printf "%.2f" $u.CPU}}</td><td class="n">{{printf "%.1f" $u.MemoryMB}}</td><td class="n">{{printf "%.0f" $u.Descriptors}}</td><td class="n">{{printf "%.2f" $u.DiskMB}}</td></tr>
{{end}}</table>
<h2>Platform drawn from the seed</h2><pre>{{.Draw}}</pre>
</body></html>
`))

type factRow struct{ Name, Value string }

type ruleRow struct {
	Name            rules.Rule
	Checked, Broken int
}

// Write writes a run's page, its plots and its result into a directory, which it creates if necessary.
func Write(dir string, result *lab.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	figures, err := drawFigures(result)
	if err != nil {
		return err
	}
	drawJSON, err := json.MarshalIndent(result.Draw, "", " ")
	if err != nil {
		return err
	}
	data := struct {
		R       *lab.Result
		Rows    []factRow
		Rules   []ruleRow
		Figures []struct {
			Note string
			SVG  template.HTML
		}
		Draw string
	}{R: result, Draw: string(drawJSON)}
	for _, item := range Facts(result) {
		data.Rows = append(data.Rows, factRow{item.Name, item.String()})
	}
	for _, rule := range rules.All {
		data.Rules = append(data.Rules, ruleRow{rule, result.Report.Checked[rule], result.Report.Broken[rule]})
	}
	for i, item := range figures {
		name := fmt.Sprintf("plot-%02d.svg", i+1)
		if err := os.WriteFile(filepath.Join(dir, name), []byte(item.SVG), 0o644); err != nil {
			return err
		}
		data.Figures = append(data.Figures, struct {
			Note string
			SVG  template.HTML
		}{item.Note, template.HTML(item.SVG)}) // the SVG is generated here, from numbers and names that the plot library escapes
	}
	out, err := os.Create(filepath.Join(dir, "index.html"))
	if err != nil {
		return err
	}
	if err := errors.Join(pageTemplate.Execute(out, data), out.Close()); err != nil {
		return err
	}
	return WriteJSON(filepath.Join(dir, "result.json"), result)
}

// WriteJSON writes a value to a file as JSON, atomically: it writes path.next and renames it.
func WriteJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".next", append(data, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(path+".next", path)
}
