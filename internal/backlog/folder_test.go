package backlog

import (
	"os"
	"path/filepath"
)

func tempDir(t fataler) string {
	dir, err := os.MkdirTemp("", "backlog")
	if err != nil {
		t.Fatal(err)
	}
	if c, ok := t.(interface{ Cleanup(func()) }); ok {
		c.Cleanup(func() { os.RemoveAll(dir) })
	}
	return dir
}

func onDisk(t fataler, dir string) (n int64) {
	all, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range all {
		i, err := f.Info()
		if err != nil {
			t.Fatal(err)
		}
		n += (i.Size() + 511) / 512 * 512
	}
	return n
}

func copyDir(t fataler, from string) string {
	to := tempDir(t)
	if err := os.CopyFS(filepath.Join(to, "d"), os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	return filepath.Join(to, "d")
}
