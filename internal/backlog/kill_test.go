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
		var interrupted interruptedCall
		var messages []Message
		for i := range n {
			message := Message{ID: fmt.Sprint(name, i), Dest: dest, Due: int64(i), OrderKey: fmt.Sprint("k", dest), Data: bytes.Repeat([]byte{byte(i)}, size)}
			messages, interrupted.put = append(messages, message), append(interrupted.put, StoredMessage{Message: message})
		}
		err := s.Put(messages...)
		if err == nil {
			m[dest] = append(m[dest], interrupted.put...)
			adoptSequences(s, m, dest)
		}
		return interrupted, err
	}
}

// adoptSequences sets the sequence numbers of a destination's messages in the model to those of the store.
func adoptSequences(s *Store, model queueModel, dest int) {
	if all, err := s.Next(dest, 1000, 1<<30); err == nil && len(all) == len(model[dest]) {
		model[dest] = all
	}
}

func removeMessages(dest int, selected func(i int) bool) scriptStep {
	return func(s *Store, m queueModel) (interrupted interruptedCall, err error) {
		interrupted.dest = dest
		for i, message := range m[dest] {
			if selected(i) {
				interrupted.remove = append(interrupted.remove, message.Sequence)
			}
		}
		if err = s.Remove(dest, interrupted.remove...); err == nil {
			m.remove(dest, interrupted.remove...)
		}
		return interrupted, err
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
	options := func(kill *killSwitch) Options {
		return Options{DiskBytes: 1 << 20, MinSegmentBytes: 256, MaxSegmentBytes: 512, MaxOpenFiles: 3, injectFault: kill.fault}
	}
	const shards = 8
	for shard := range shards {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for killAfter := shard; ; killAfter += shards {
				dir, kill, model := t.TempDir(), &killSwitch{budget: killAfter, armed: true}, queueModel{}
				var interrupted interruptedCall
				store, err := Open(dir, options(kill))
				for i := 0; i < len(script) && err == nil; i++ {
					interrupted, err = script[i](store, model)
				}
				if store != nil {
					store.Close()
				}
				if !kill.killed {
					if killAfter < 2000 {
						t.Fatalf("the script ends after %d bytes", killAfter)
					}
					return
				}
				store = mustOpen(t, dir, options(&killSwitch{}))
				adoptAfterKill(t, store, model, interrupted)
				checkEqual(t, store, model)
				if err := store.Put(Message{ID: "after", Dest: 1, Data: []byte("x")}); err != nil {
					t.Fatal(err)
				}
				model[1] = append(model[1], StoredMessage{Message: Message{ID: "after", Dest: 1, Data: []byte("x")}})
				checkEqual(t, store, model)
				store.Close()
			}
		})
	}
}
