// Package remedy finds what an operator can do about an error. Errors are types of the package that they come from, with
// fields; those that an operator may see have a Remedy of one sentence.
package remedy

import "errors"

// Of is what an operator can do about an error: the word of the outermost one that has any; empty for none.
func Of(err error) string {
	var adviser interface{ Remedy() string }
	if errors.As(err, &adviser) {
		return adviser.Remedy()
	}
	return ""
}
