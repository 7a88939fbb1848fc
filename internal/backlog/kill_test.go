package backlog

import (
	"bytes"
	"fmt"
	"testing"
)

// step is one call of a script and what it may leave behind when killed.
type step func(s *Store, m model) (pending, error)

func putStep(dest, n, size int, name string) step {
	return func(s *Store, m model) (pending, error) {
		var p pending
		var ms []Message
		for i := range n {
			h := Message{ID: fmt.Sprint(name, i), Dest: dest, Due: int64(i), Order: fmt.Sprint("k", dest), Data: bytes.Repeat([]byte{byte(i)}, size)}
			ms, p.put = append(ms, h), append(p.put, Held{Message: h})
		}
		err := s.Put(ms...)
		if err == nil {
			m[dest] = append(m[dest], p.put...)
			refresh(s, m, dest)
		}
		return p, err
	}
}

// refresh takes over places.
func refresh(s *Store, m model, dest int) {
	if all, err := s.Next(dest, 1000, 1<<30); err == nil && len(all) == len(m[dest]) {
		m[dest] = all
	}
}

func outStep(dest int, which func(i int) bool) step {
	return func(s *Store, m model) (p pending, err error) {
		p.dest = dest
		for i, h := range m[dest] {
			if which(i) {
				p.out = append(p.out, h.Place)
			}
		}
		if err = s.Out(dest, p.out...); err == nil {
			m.out(dest, p.out...)
		}
		return p, err
	}
}

// Guards against a kill that takes anything confirmed, brings back what has left, or leaves a folder that does not open: at each byte of each write,
// of putting, taking out in and out of order, of writing anew, of dropping.
func TestKillAtAnyByte(t *testing.T) {
	script := []step{
		putStep(1, 3, 10, "a"), putStep(2, 1, 10, "b"), outStep(1, func(i int) bool { return i == 0 }),
		putStep(1, 6, 20, "c"), outStep(1, func(i int) bool { return i%3 != 0 }), outStep(2, func(int) bool { return true }),
		putStep(1, 2, 300, "d"), outStep(1, func(i int) bool { return i < 2 }), putStep(2, 2, 0, "e"),
	}
	o := func(k *killer) Options {
		return Options{Disk: 1 << 20, SegmentLeast: 256, SegmentMost: 512, Files: 3, fault: k.fault}
	}
	const shards = 8
	for shard := range shards {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for at := shard; ; at += shards {
				dir, k, m := t.TempDir(), &killer{left: at, on: true}, model{}
				var p pending
				s, err := Open(dir, o(k))
				for i := 0; i < len(script) && err == nil; i++ {
					p, err = script[i](s, m)
				}
				if s != nil {
					s.Close()
				}
				if !k.done {
					if at < 2000 {
						t.Fatalf("the script ends after %d bytes", at)
					}
					return
				}
				s = mustOpen(t, dir, o(&killer{}))
				settle(t, s, m, p)
				same(t, s, m)
				if err := s.Put(Message{ID: "after", Dest: 1, Data: []byte("x")}); err != nil {
					t.Fatal(err)
				}
				m[1] = append(m[1], Held{Message: Message{ID: "after", Dest: 1, Data: []byte("x")}})
				same(t, s, m)
				s.Close()
			}
		})
	}
}
