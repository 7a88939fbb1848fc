package relay

import (
	"log/slog"
	"net/http"

	"larchrouter/choice"
	"larchrouter/internal/journal"
	"larchrouter/internal/remedy"
)

// responseAfterDisconnect returns the response for a client that disconnected, or closed its sending direction,
// before it learned that its message was accepted. Such a client may submit the message again under another id. One
// that closed only its sending direction still reads; it must not get 202 for a message that is withdrawn here, nor
// be told to retry one that is not.
func (r *Relay) responseAfterDisconnect(apiReq *apiRequest) apiResponse {
	withdrawn := apiResponse{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, text: "withdrawn"}
	replies := make(chan apiResponse, 1)
	withdrawing := false // belongs to the loop until the loop has ended
	r.post(func() {
		withdrawing = r.withdraw(apiReq.entry.ID, func(confirmed bool) {
			if confirmed {
				replies <- withdrawn
			} else {
				replies <- withdrawnLocally(apiReq.entry)
			}
		})
		switch {
		case withdrawing:
		case r.withdrawStored(apiReq.entry):
			replies <- withdrawn
		default:
			replies <- apiResponse{status: http.StatusAccepted}
		}
	})
	select {
	case response := <-replies:
		return response
	case <-r.loopEnded: // what the loop has answered before it ended is valid: it is in the record
	}
	select {
	case response := <-replies:
		return response
	default:
	}
	if withdrawing { // it waited for replicas
		return withdrawnLocally(apiReq.entry)
	}
	return apiResponse{status: http.StatusAccepted}
}

// withdrawnLocally returns the response for a client whose message has ended here while a replica may not know of
// that, so that a successor may deliver it. If the message must not be delivered twice, the client is not told to
// retry.
func withdrawnLocally(entry *journal.Entry) apiResponse {
	if entry.Terms != nil && !entry.Terms.Class.SafeToSubmitAgain() {
		return apiResponse{status: http.StatusInternalServerError, text: "it is not known whether it will be delivered"}
	}
	return apiResponse{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, text: "too few copies"}
}

// withdraw ends a message whose client disconnected without an answer and may submit it again under another id. It
// reports whether it did; if so, it calls onResult once it is known whether the withdrawal is confirmed. A message
// that was sent, or submitted twice, is not withdrawn: its id may still be in use. Nor is one whose end cannot be
// recorded at once, because it would be delivered after a restart.
func (r *Relay) withdraw(id string, onResult func(confirmed bool)) bool {
	msg := r.pending[id]
	if r.nextProcess != nil || msg == nil || msg.Tries > 0 || msg.resent {
		return false
	}
	r.flush()
	if err := r.commitInOrder([]journal.Record{{Op: journal.OpEnd, ID: id}}, commitTimeout, onResult); err != nil {
		slog.Error("message not withdrawn", "err", err, "remedy", remedy.Of(err))
		return false
	}
	r.events = append(r.events, choice.Withdrawn{ID: id})
	r.noteRefusal(id, refusedClientLeft)
	r.release(msg)
	return true
}

// respondRecorded answers a client whose message is on record but not pending. The message must not be recorded
// again, because the end of the recorded one would end both. One with a pending notice has ended; for any other it is
// not known yet who delivers it.
func (r *Relay) respondRecorded(apiReq *apiRequest, entry *journal.Entry) {
	if entry.NoticeStatus != "" {
		apiReq.reply <- apiResponse{status: http.StatusAccepted}
		return
	}
	r.answerUncommitted(&message{Entry: entry, unanswered: []*apiRequest{apiReq}})
}
