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
	From string `json:"from"` // as JSON; "-" where there is none
	To   string `json:"to"`
}

// Diff tells what differs between two documents, by path. Objects in a list that have names are told apart by those, so
// that one more does not make all behind it differ.
func Diff(from, to json.RawMessage) []Change {
	a, b := flat(from), flat(to)
	changes := []Change{}
	for _, path := range slices.Sorted(maps.Keys(a)) {
		if v, ok := b[path]; !ok {
			changes = append(changes, Change{path, a[path], "-"})
		} else if v != a[path] {
			changes = append(changes, Change{path, a[path], v})
		}
	}
	for _, path := range slices.Sorted(maps.Keys(b)) {
		if _, ok := a[path]; !ok {
			changes = append(changes, Change{path, "-", b[path]})
		}
	}
	sort.SliceStable(changes, func(i, k int) bool { return changes[i].Path < changes[k].Path })
	return changes
}

// lines is a document as paths and values.
func lines(doc json.RawMessage) (all []string) {
	f := flat(doc)
	for _, path := range slices.Sorted(maps.Keys(f)) {
		all = append(all, path+"\t"+f[path])
	}
	return all
}

// flat has each value of a document that is neither object nor list by its path. What cannot be read is one value.
func flat(doc json.RawMessage) map[string]string {
	all := map[string]string{}
	var v any
	if err := json.Unmarshal(doc, &v); err != nil {
		all["document"] = string(doc)
		return all
	}
	flatten(all, "", v)
	return all
}

func flatten(all map[string]string, path string, v any) {
	at := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch v := v.(type) {
	case map[string]any:
		for key, w := range v {
			flatten(all, at(key), w)
		}
		if len(v) == 0 {
			all[path] = "{}"
		}
	case []any:
		seen := map[string]bool{}
		for i, w := range v {
			key := fmt.Sprintf("[%d]", i)
			if o, ok := w.(map[string]any); ok {
				if name, ok := o["name"].(string); ok && !seen[name] {
					key, seen[name] = "["+name+"]", true
				}
			}
			flatten(all, path+key, w)
		}
		if len(v) == 0 {
			all[path] = "[]"
		}
	default:
		data, err := json.Marshal(v)
		if err != nil {
			data = []byte(err.Error())
		}
		all[path] = string(data)
	}
}
