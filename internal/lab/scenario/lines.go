package scenario

import (
	"fmt"
	"strings"
)

// Where in a file a mistake is.

// locate finds the lines of the tables that errors name.
func locate(data []byte, err error) error {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return err
	}
	lines := strings.Split(string(data), "\n")
	for _, e := range joined.Unwrap() {
		at, ok := e.(*Error)
		if !ok {
			continue
		}
		at.Line = find(lines, at.Key)
	}
	return err
}

// find is the line of a key such as load.rate or fault[1]; 0 if the file leaves it to its default.
func find(lines []string, key string) int {
	key, _, _ = strings.Cut(key, " ")
	table, name, dotted := strings.Cut(key, ".")
	nth := 0
	if t, n, ok := strings.Cut(key, "["); ok {
		table, dotted = t, false
		fmt.Sscanf(n, "%d]", &nth)
		for i, line := range lines {
			if strings.HasPrefix(strings.ReplaceAll(line, " ", ""), "[["+table+"]]") {
				if nth == 0 {
					return i + 1
				}
				nth--
			}
		}
		return 0
	}
	in := !dotted
	if !dotted {
		name = table
	}
	for i, line := range lines {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			in = dotted && strings.HasPrefix(line, "["+table+"]")
			continue
		}
		if word, _, ok := strings.Cut(line, "="); ok && in && strings.TrimSpace(word) == name {
			return i + 1
		}
	}
	return 0
}
