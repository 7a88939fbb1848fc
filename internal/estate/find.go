package estate

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"larchrouter/internal/estate/state"
	"larchrouter/internal/journal"
	"larchrouter/internal/remedy"
)

// Found is the newest copy of an estate, with its stamps by the clock of whoever asked.
type Found struct {
	state.Copy
	Records []journal.Record
	Holder  string
}

// Find has a process promised to at as many holders of each set as it takes, so that no writer before it finds as many as
// make a record count, and returns the newest copy among them; nil if none has any. It asks until it has as many, or is
// told that another writer has come later (*state.Sealed), or the context ends.
func Find(ctx context.Context, client *http.Client, p Promise, sets []state.Set) (*Found, error) {
	p.Want = true
	said := map[state.Holder]bool{}
	var best *Found
	for pause := firstPause; ; pause = min(2*pause, longPause) {
		var mu sync.Mutex
		var all sync.WaitGroup
		var sealed *state.Sealed
		var last error
		asked := map[state.Holder]bool{}
		for _, s := range sets {
			for _, h := range s.Holders {
				asked[h] = !said[h] // before any answers: answers write to said
			}
		}
		for h, ask := range asked {
			if !ask {
				continue
			}
			all.Go(func() {
				var out Promised
				begun, _, err := call(ctx, client, h, PromisePath, p, &out, unixMilli)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					errors.As(err, &sealed)
					last = err
					return
				}
				said[h] = true
				if out.From == "" || best != nil && !out.Copy.Newer(best.Copy) {
					return
				}
				best = &Found{out.Copy, out.Records, h.Name}
				// Its clock showed this after the call began here, so what it has is that much earlier at the latest.
				for i := range best.Records {
					best.Records[i] = best.Records[i].Shifted(begun - out.Clock)
				}
			})
		}
		all.Wait()
		if sealed != nil && sealed.Writer != p.Writer {
			return nil, sealed
		}
		if missing := missing(sets, said); missing == "" {
			return best, nil
		} else if ctx.Err() != nil {
			return nil, &Unfound{missing, last}
		} else {
			slog.Debug("holders are asked again", "estate", p.Estate, "for", missing, "err", last)
		}
		rest(ctx, pause)
	}
}

// missing tells of the sets of which too few holders have answered.
func missing(sets []state.Set, said map[state.Holder]bool) (text string) {
	for _, s := range sets {
		n := 0
		for _, h := range s.Holders {
			if said[h] {
				n++
			}
		}
		if n < s.Need() {
			text += fmt.Sprintf("%d more of %v; ", s.Need()-n, s.Holders)
		}
	}
	return text
}

// Unfound is that too few holders have answered to know what counts.
type Unfound struct {
	Missing string
	Last    error
}

func (u *Unfound) Error() string {
	return fmt.Sprintf("holders have not answered: %s(the last: %v)", u.Missing, u.Last)
}

func (u *Unfound) Unwrap() error { return u.Last }

// Remedy says what an operator can do.
func (u *Unfound) Remedy() string {
	return "bring one of these relays back with its folder; what they alone have is not taken up before"
}

// Drop tells holders that an estate has run out.
func Drop(ctx context.Context, client *http.Client, p Promise, sets []state.Set) {
	ctx, cancel := context.WithTimeout(ctx, 2*callIn)
	defer cancel()
	var all sync.WaitGroup
	for _, s := range sets {
		for _, h := range s.Holders {
			all.Go(func() {
				var out Taken
				if _, _, err := call(ctx, client, h, DropPath, p, &out, unixMilli); err != nil {
					slog.Warn("a copy is left at a holder", "estate", p.Estate, "holder", h.Name, "err", err, "remedy", remedy.Of(err))
				}
			})
		}
	}
	all.Wait()
}

// roundIn is how often an owner looks at its estates.
const roundIn = 100 * time.Millisecond
