package scenario

import (
	"fmt"
	"strings"
)

// Locations of errors in a file.

// addLineNumbers sets the lines of the keys and tables that the joined errors name.
func addLineNumbers(data []byte, err error) error {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return err
	}
	lines := strings.Split(string(data), "\n")
	for _, part := range joined.Unwrap() {
		located, ok := part.(*Error)
		if !ok {
			continue
		}
		located.Line = lineOf(lines, located.Key)
	}
	return err
}

// lineOf returns the line of a key such as load.rate or fault[1]; 0 if the file does not set it.
func lineOf(lines []string, key string) int {
	key, _, _ = strings.Cut(key, " ")
	table, name, dotted := strings.Cut(key, ".")
	index := 0
	if tableName, indexText, ok := strings.Cut(key, "["); ok {
		table, dotted = tableName, false
		fmt.Sscanf(indexText, "%d]", &index)
		for i, line := range lines {
			if strings.HasPrefix(strings.ReplaceAll(line, " ", ""), "[["+table+"]]") {
				if index == 0 {
					return i + 1
				}
				index--
			}
		}
		return 0
	}
	inTable := !dotted
	if !dotted {
		name = table
	}
	for i, line := range lines {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			inTable = dotted && strings.HasPrefix(line, "["+table+"]")
			continue
		}
		if lineKey, _, ok := strings.Cut(line, "="); ok && inTable && strings.TrimSpace(lineKey) == name {
			return i + 1
		}
	}
	return 0
}
