// Package schema checks that a JSON document has the members that its schema requires. Members that the schema does not
// name are allowed.
package schema

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Value describes a JSON value. Its check method returns a *Error for the first fault found; path is where the value is in
// the document.
type Value interface {
	check(value any, path string) error
}

// Any is a value of any kind other than null.
type Any struct{}

// List is a list, and Elements describes each of its elements. It may be empty.
type List struct{ Elements Value }

// Object is an object with members that it must have and members that it may have. Null counts as absent.
type Object struct {
	Required map[string]Value
	Optional map[string]Value
	// RequiredIf returns the names of the optional members that this object must have because of its other members. It may
	// be nil.
	RequiredIf func(members map[string]any) []string
}

// Members returns a map for Object that describes each named member as a value of any kind.
func Members(names ...string) map[string]Value {
	members := map[string]Value{}
	for _, name := range names {
		members[name] = Any{}
	}
	return members
}

// Error reports a part of a document that is missing or of another kind than its schema requires.
type Error struct {
	Path   string // of the part, such as /settings/classes[1]/name; empty for the whole document
	Reason string
}

func (e *Error) Error() string { return e.Path + " " + e.Reason }

// Remedy returns what an operator can do about the error.
func (e *Error) Remedy() string { return "write the whole file anew, with " + e.Path }

// Check returns an error if a document is not valid JSON or lacks what its schema requires. The latter is a *Error.
func Check(document json.RawMessage, root Value) error {
	var value any
	if err := json.Unmarshal(document, &value); err != nil {
		return err
	}
	return root.check(value, "")
}

func (Any) check(value any, path string) error {
	if value == nil {
		return &Error{path, "is missing"}
	}
	return nil
}

func (l List) check(value any, path string) error {
	elements, ok := value.([]any)
	if !ok {
		return &Error{path, "is no list"}
	}
	for i, element := range elements {
		if err := l.Elements.check(element, fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return nil
}

func (o Object) check(value any, path string) error {
	members, ok := value.(map[string]any)
	if !ok {
		return &Error{path, "is no object"}
	}
	if o.RequiredIf != nil {
		for _, name := range o.RequiredIf(members) {
			if members[name] == nil {
				return &Error{path + "/" + name, "is missing"}
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(o.Required)) {
		if members[name] == nil {
			return &Error{path + "/" + name, "is missing"}
		}
		if err := o.Required[name].check(members[name], path+"/"+name); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(o.Optional)) {
		if members[name] == nil {
			continue
		}
		if err := o.Optional[name].check(members[name], path+"/"+name); err != nil {
			return err
		}
	}
	return nil
}
