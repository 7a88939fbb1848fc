package ctl

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
)

// Change is one value that differs between two documents.
type Change struct {
	Path string `json:"path"`
	From string `json:"from"` // as JSON; "-" if there is no value
	To   string `json:"to"`
}

// Diff returns the values that differ between two documents, sorted by path. Objects of a list are identified by their
// names if they have any, so that an added object does not make all after it differ.
func Diff(from, to json.RawMessage) []Change {
	fromValues, toValues := flattenDocument(from), flattenDocument(to)
	changes := []Change{}
	for _, path := range slices.Sorted(maps.Keys(fromValues)) {
		if v, ok := toValues[path]; !ok {
			changes = append(changes, Change{path, fromValues[path], "-"})
		} else if v != fromValues[path] {
			changes = append(changes, Change{path, fromValues[path], v})
		}
	}
	for _, path := range slices.Sorted(maps.Keys(toValues)) {
		if _, ok := fromValues[path]; !ok {
			changes = append(changes, Change{path, "-", toValues[path]})
		}
	}
	sort.SliceStable(changes, func(i, k int) bool { return changes[i].Path < changes[k].Path })
	return changes
}

// documentLines returns a line with path, tab and value for each value of a document.
func documentLines(doc json.RawMessage) (out []string) {
	values := flattenDocument(doc)
	for _, path := range slices.Sorted(maps.Keys(values)) {
		out = append(out, path+"\t"+values[path])
	}
	return out
}

// flattenDocument returns the values of a document by path. Values are scalars, empty objects and empty lists. A document
// that cannot be parsed is a single value.
func flattenDocument(doc json.RawMessage) map[string]string {
	values := map[string]string{}
	var v any
	if err := json.Unmarshal(doc, &v); err != nil {
		values["document"] = string(doc)
		return values
	}
	flatten(values, "", v)
	return values
}

func flatten(values map[string]string, path string, v any) {
	join := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch v := v.(type) {
	case map[string]any:
		for key, element := range v {
			flatten(values, join(key), element)
		}
		if len(v) == 0 {
			values[path] = "{}"
		}
	case []any:
		seen := map[string]bool{}
		for i, element := range v {
			key := fmt.Sprintf("[%d]", i)
			if object, ok := element.(map[string]any); ok {
				if name, ok := object["name"].(string); ok && !seen[name] {
					key, seen[name] = "["+name+"]", true
				}
			}
			flatten(values, path+key, element)
		}
		if len(v) == 0 {
			values[path] = "[]"
		}
	default:
		data, err := json.Marshal(v)
		if err != nil {
			data = []byte(err.Error())
		}
		values[path] = string(data)
	}
}
