package replication

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"larchrouter/internal/journal"
	"larchrouter/internal/remedy"
	"larchrouter/internal/replication/state"
)

// Found is the newest copy of an estate, with its stamps by the clock of whoever asked.
type FoundCopy struct {
	state.Copy
	Records []journal.Record
	Replica string
}

// Find has a process promised to at as many holders of each set as it takes, so that no writer before it finds as many as
// make a record count, and returns the newest copy among them; nil if none has any. It asks until it has as many, or is
// told that another writer has come later (*state.Sealed), or the context ends.
func FindNewestCopy(ctx context.Context, client *http.Client, request PromiseRequest, sets []state.ReplicaSet) (*FoundCopy, error) {
	request.WantCopy = true
	promised := map[state.Replica]bool{}
	var newest *FoundCopy
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		var mu sync.Mutex
		var calls sync.WaitGroup
		var fenced *state.FencedError
		var lastErr error
		toAsk := map[state.Replica]bool{}
		for _, set := range sets {
			for _, replica := range set.Replicas {
				toAsk[replica] = !promised[replica] // before any answers: answers write to said
			}
		}
		for replica, ask := range toAsk {
			if !ask {
				continue
			}
			calls.Go(func() {
				var answer PromiseResponse
				sentAt, _, err := call(ctx, client, replica, PromisePath, request, &answer, unixMilli)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					errors.As(err, &fenced)
					lastErr = err
					return
				}
				promised[replica] = true
				if answer.ContentWriter == "" || newest != nil && !answer.Copy.Newer(newest.Copy) {
					return
				}
				newest = &FoundCopy{answer.Copy, answer.Records, replica.Name}
				// Its clock showed this after the call began here, so what it has is that much earlier at the latest.
				for i := range newest.Records {
					newest.Records[i] = newest.Records[i].Shifted(sentAt - answer.Clock)
				}
			})
		}
		calls.Wait()
		if fenced != nil && fenced.Writer != request.Writer {
			return nil, fenced
		}
		if missing := describeMissing(sets, promised); missing == "" {
			return newest, nil
		} else if ctx.Err() != nil {
			return nil, &QuorumError{missing, lastErr}
		} else {
			slog.Debug("holders are asked again", "estate", request.Group, "for", missing, "err", lastErr)
		}
		sleep(ctx, pause)
	}
}

// missing tells of the sets of which too few holders have answered.
func describeMissing(sets []state.ReplicaSet, promised map[state.Replica]bool) (text string) {
	for _, set := range sets {
		count := 0
		for _, replica := range set.Replicas {
			if promised[replica] {
				count++
			}
		}
		if count < set.PromisesNeeded() {
			text += fmt.Sprintf("%d more of %v; ", set.PromisesNeeded()-count, set.Replicas)
		}
	}
	return text
}

// Unfound is that too few holders have answered to know what counts.
type QuorumError struct {
	Missing string
	LastErr error
}

func (q *QuorumError) Error() string {
	return fmt.Sprintf("holders have not answered: %s(the last: %v)", q.Missing, q.LastErr)
}

func (q *QuorumError) Unwrap() error { return q.LastErr }

// Remedy says what an operator can do.
func (q *QuorumError) Remedy() string {
	return "bring one of these relays back with its folder; what they alone have is not taken up before"
}

// Drop tells holders that an estate has run out.
func DropCopies(ctx context.Context, client *http.Client, request PromiseRequest, sets []state.ReplicaSet) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, set := range sets {
		for _, replica := range set.Replicas {
			calls.Go(func() {
				var answer BatchResponse
				if _, _, err := call(ctx, client, replica, DropPath, request, &answer, unixMilli); err != nil {
					slog.Warn("a copy is left at a holder", "estate", request.Group, "holder", replica.Name, "err", err, "remedy", remedy.Of(err))
				}
			})
		}
	}
	calls.Wait()
}

// roundIn is how often an owner looks at its estates.
const roundInterval = 100 * time.Millisecond
