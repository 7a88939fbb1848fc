package backlog

import (
	"bytes"
	"fmt"
	"testing"
)

// scriptStep is one call of a script; it returns what the call may leave behind if it is killed.
type scriptStep func(s *Store, m queueModel) (interruptedCall, error)

func putMessages(dest, n, size int, name string) scriptStep {
	return func(s *Store, m queueModel) (interruptedCall, error) {
		var p interruptedCall
		var ms []Message
		for i := range n {
			h := Message{ID: fmt.Sprint(name, i), Dest: dest, Due: int64(i), OrderKey: fmt.Sprint("k", dest), Data: bytes.Repeat([]byte{byte(i)}, size)}
			ms, p.put = append(ms, h), append(p.put, StoredMessage{Message: h})
		}
		err := s.Put(ms...)
		if err == nil {
			m[dest] = append(m[dest], p.put...)
			adoptSequences(s, m, dest)
		}
		return p, err
	}
}

// adoptSequences sets the sequence numbers of a destination's messages in the model to those of the store.
func adoptSequences(s *Store, m queueModel, dest int) {
	if all, err := s.Next(dest, 1000, 1<<30); err == nil && len(all) == len(m[dest]) {
		m[dest] = all
	}
}

func removeMessages(dest int, which func(i int) bool) scriptStep {
	return func(s *Store, m queueModel) (p interruptedCall, err error) {
		p.dest = dest
		for i, h := range m[dest] {
			if which(i) {
				p.remove = append(p.remove, h.Sequence)
			}
		}
		if err = s.Remove(dest, p.remove...); err == nil {
			m.remove(dest, p.remove...)
		}
		return p, err
	}
}

// Guards against a kill that loses a confirmed message, brings back a removed one, or leaves a folder that does not open.
// The process is killed at each byte of each write, while messages are stored, removed in order and out of order, and while
// segments are rewritten and dropped.
func TestKillAtAnyByte(t *testing.T) {
	script := []scriptStep{
		putMessages(1, 3, 10, "a"), putMessages(2, 1, 10, "b"), removeMessages(1, func(i int) bool { return i == 0 }),
		putMessages(1, 6, 20, "c"), removeMessages(1, func(i int) bool { return i%3 != 0 }), removeMessages(2, func(int) bool { return true }),
		putMessages(1, 2, 300, "d"), removeMessages(1, func(i int) bool { return i < 2 }), putMessages(2, 2, 0, "e"),
	}
	o := func(k *killSwitch) Options {
		return Options{DiskBytes: 1 << 20, MinSegmentBytes: 256, MaxSegmentBytes: 512, MaxOpenFiles: 3, injectFault: k.fault}
	}
	const shards = 8
	for shard := range shards {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for at := shard; ; at += shards {
				dir, k, m := t.TempDir(), &killSwitch{budget: at, armed: true}, queueModel{}
				var p interruptedCall
				s, err := Open(dir, o(k))
				for i := 0; i < len(script) && err == nil; i++ {
					p, err = script[i](s, m)
				}
				if s != nil {
					s.Close()
				}
				if !k.killed {
					if at < 2000 {
						t.Fatalf("the script ends after %d bytes", at)
					}
					return
				}
				s = mustOpen(t, dir, o(&killSwitch{}))
				adoptAfterKill(t, s, m, p)
				checkEqual(t, s, m)
				if err := s.Put(Message{ID: "after", Dest: 1, Data: []byte("x")}); err != nil {
					t.Fatal(err)
				}
				m[1] = append(m[1], StoredMessage{Message: Message{ID: "after", Dest: 1, Data: []byte("x")}})
				checkEqual(t, s, m)
				s.Close()
			}
		})
	}
}
