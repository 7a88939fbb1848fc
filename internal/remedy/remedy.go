// Package remedy finds what an operator can do about an error. Each package defines its errors as types with fields, and those
// that an operator may see have a method Remedy that returns one sentence.
package remedy

import "errors"

// Of returns what an operator can do about err: the Remedy of the outermost error in its chain that has one; empty if none has.
func Of(err error) string {
	var adviser interface{ Remedy() string }
	if errors.As(err, &adviser) {
		return adviser.Remedy()
	}
	return ""
}
