package smallfile

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

type testValue struct{ N int }

// Guards against a value that is read in part, or lost, before the first write, after damage to the file, and where a new value
// cannot be written.
func TestValueIsCompleteOrAbsent(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "value")
	var v testValue
	if Read(path, &v) {
		t.Error("an absent file has a value")
	}
	if err := Write(path, testValue{7}); err != nil || !Read(path, &v) || v.N != 7 {
		t.Errorf("%v, %v read after 7 was written", err, v)
	}
	if err := os.Mkdir(path+".next", 0o755); err != nil { // so that the next value cannot be written
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(path+".next", "x"), nil, 0o644); err != nil {
		t.Fatal(err)
	}
	var fileErr *WriteError
	if err := Write(path, testValue{8}); !errors.As(err, &fileErr) || fileErr.Remedy() == "" || !Read(path, &v) || v.N != 7 {
		t.Errorf("error %v, and the stored value is %v, want 7", err, v)
	}
	if err := os.WriteFile(path, []byte(`{"N":`), 0o644); err != nil || Read(path, &v) {
		t.Errorf("error %v, and a damaged file has a value", err)
	}
}
