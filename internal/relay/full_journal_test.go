package relay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"larchrouter/choice"
	"larchrouter/internal/journal"
)

// Guards against notices that are never sent because the journal has no space for the records of all of them at once:
// as many messages as the disk holds, tried or not, end in one turn of the loop.
func TestAllMessagesOfFullJournalEnd(t *testing.T) {
	for name, bodySize := range map[string]int{"small messages": 1, "large messages": 4000} {
		t.Run(name, func(t *testing.T) {
			leavingServer := testEndpoint("s-1", "127.0.0.1:1", "taller")
			leavingServer.State = "leaving" // so that messages wait
			p := newFakePlatform(t, leavingServer)
			p.notices = make(chan notice, 10000)
			r := startRelay(t, p, func(c *Config) { c.DiskMB, c.Settings.MaxPending = 3, 0 })
			due := r.now() + 4*time.Second
			accepted := 0
			for rejected := false; !rejected; {
				in := &apiRequest{ctx: context.Background(), reply: make(chan apiResponse, 1), due: due}
				in.entry = &journal.Entry{ID: fmt.Sprintf("%016x", accepted), Class: "payment", Dest: 7, Body: []byte(strings.Repeat("x", bodySize)),
					Due: time.Now().Add(due - r.now()).UnixMilli()}
				in.entry.Terms = &choice.Terms{Class: r.settings.Load().Classes[2], Attempts: 6}
				r.post(func() { r.submit(in) })
				if rejected = receive(t, in.reply, "answer").status != http.StatusAccepted; !rejected {
					accepted++
				}
			}
			if r.now() > due-time.Second {
				t.Fatalf("accepting %d messages took too long", accepted)
			}
			for n := range accepted {
				select {
				case <-p.notices:
				case <-time.After(time.Until(r.startedAt.Add(due + 5*time.Second))):
					t.Fatalf("only %d of %d notices were sent", n, accepted)
				}
			}
			t.Logf("%d notices, the last one %v after its message's deadline", accepted, r.now()-due)
		})
	}
}
