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

// FoundCopy is the newest copy of a group, with its times converted to the clock of the relay that asked.
type FoundCopy struct {
	state.Copy
	Records []journal.Record
	Replica string
}

// FindNewestCopy collects promises for a writer from enough replicas of each set that no earlier writer can commit a record
// any more, and returns the newest copy among them, nil if none has a copy. It asks until it has enough promises. It
// fails with *state.FencedError if a replica has promised itself to a later writer, and with *QuorumError if the context ends.
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
				toAsk[replica] = !promised[replica] // set before the calls begin, as their answers write to promised
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
				// The replica read its clock after the call was sent, so this shift makes the times at most too early, never too late.
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
			slog.Debug("too few replicas have promised; asking again", "estate", request.Group, "for", missing, "err", lastErr)
		}
		sleep(ctx, pause)
	}
}

// describeMissing names the sets of which too few replicas have promised; it returns an empty text if there are none.
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

// QuorumError says that too few replicas have answered to know which records are committed.
type QuorumError struct {
	Missing string
	LastErr error
}

func (q *QuorumError) Error() string {
	return fmt.Sprintf("too few replicas have answered: %s(last error: %v)", q.Missing, q.LastErr)
}

func (q *QuorumError) Unwrap() error { return q.LastErr }

// Remedy returns what an operator can do about the error.
func (q *QuorumError) Remedy() string {
	return "bring one of these relays back with its folder; what they alone have is not taken up before"
}

// DropCopies asks the replicas of a closed group to delete their copies. Failures are logged only.
func DropCopies(ctx context.Context, client *http.Client, request PromiseRequest, sets []state.ReplicaSet) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, set := range sets {
		for _, replica := range set.Replicas {
			calls.Go(func() {
				var answer BatchResponse
				if _, _, err := call(ctx, client, replica, DropPath, request, &answer, unixMilli); err != nil {
					slog.Warn("a replica did not delete its copy of a closed replication group", "estate", request.Group, "holder", replica.Name, "err", err, "remedy", remedy.Of(err))
				}
			})
		}
	}
	calls.Wait()
}

// roundInterval is how often an Owner checks its groups.
const roundInterval = 100 * time.Millisecond
