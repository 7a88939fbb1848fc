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

// Guards against ends that are never told because the journal has no room for the records of all of them at once: as many
// messages as the disk takes, tried or not, end in one turn of the loop.
func TestManyEndsFromAFullJournal(t *testing.T) {
	for name, bodySize := range map[string]int{"small messages": 1, "large messages": 4000} {
		t.Run(name, func(t *testing.T) {
			leaving := testEndpoint("s-1", "127.0.0.1:1", "taller")
			leaving.State = "leaving" // so that messages wait
			p := newFakePlatform(t, leaving)
			p.notices = make(chan notice, 10000)
			r := startRelay(t, p, func(c *Config) { c.DiskMB, c.Settings.MaxHeld = 3, 0 })
			due := r.now() + 4*time.Second
			taken := 0
			for full := false; !full; {
				in := &intake{ctx: context.Background(), reply: make(chan answer, 1), due: due}
				in.entry = &journal.Entry{ID: fmt.Sprintf("%016x", taken), Class: "payment", Dest: 7, Body: []byte(strings.Repeat("x", bodySize)),
					Due: time.Now().Add(due - r.now()).UnixMilli()}
				in.entry.Terms = &choice.Terms{Class: r.settings.Load().Classes[2], Attempts: 6}
				r.post(func() { r.take(in) })
				if full = receive(t, in.reply, "answer").status != http.StatusAccepted; !full {
					taken++
				}
			}
			if r.now() > due-time.Second {
				t.Fatalf("taking on %d messages took too long", taken)
			}
			for n := range taken {
				select {
				case <-p.notices:
				case <-time.After(time.Until(r.startedAt.Add(due + 5*time.Second))):
					t.Fatalf("%d of %d ends were told", n, taken)
				}
			}
			t.Logf("%d ends, the last one told %v after its time", taken, r.now()-due)
		})
	}
}
