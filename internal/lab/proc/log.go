package proc

import (
	"bufio"
	"io"
	"os"
)

// capped is a file that keeps the first half and the last quarter of what is written to it, at least: a start
// and an end tell more than the middle.
type capped struct {
	f          *os.File
	most, size int64
	old        bool // what came first has been kept apart
}

func newCapped(path string, most int64) (*capped, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	if most <= 0 {
		most = 8 << 20
	}
	return &capped{f: f, most: most}, nil
}

func (c *capped) Write(p []byte) (int, error) {
	if c.size+int64(len(p)) > c.most/2 && c.size > 0 {
		if err := c.turn(); err != nil {
			return len(p), nil // the program is not to stop for its log
		}
	}
	n := min(int64(len(p)), c.most/2)
	c.f.Write(p[:n])
	c.size += n
	return len(p), nil
}

// turn starts the file anew; the first one is kept.
func (c *capped) turn() error {
	if !c.old {
		c.old = true
		if err := os.Rename(c.f.Name(), c.f.Name()+".first"); err != nil {
			return err
		}
		f, err := os.OpenFile(c.f.Name(), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
		if err != nil {
			return err
		}
		c.f.Close()
		c.f, c.size = f, 0
		return nil
	}
	c.size = 0
	if err := c.f.Truncate(0); err != nil {
		return err
	}
	_, err := c.f.Seek(0, io.SeekStart)
	return err
}

func (c *capped) Close() error { return c.f.Close() }

// Tail is the end of a program's log.
func Tail(path string, lines int) []string {
	f, err := os.Open(path)
	if err != nil {
		return nil
	}
	defer f.Close()
	var last []string
	for s := bufio.NewScanner(f); s.Scan(); {
		if last = append(last, s.Text()); len(last) > lines {
			last = last[1:]
		}
	}
	return last
}
