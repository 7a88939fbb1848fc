package relay

import (
	"log/slog"
	"net/http"

	"larchrouter/choice"
	"larchrouter/internal/journal"
	"larchrouter/internal/remedy"
)

// afterLeaving is the answer to a client that ended its sending, or left, before it was told that its message is taken on:
// it may hand the message in again under another id. One that only ended its sending still reads, and must not be told 202 of
// what is given up here, nor that it may come again with what is not.
func (r *Relay) responseAfterDisconnect(apiReq *apiRequest) apiResponse {
	withdrawn := apiResponse{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, text: "withdrawn"}
	replies := make(chan apiResponse, 1)
	withdrawing := false // belongs to the loop until that has ended
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
	case <-r.halted: // what the loop has said by then holds: the record says so
	}
	select {
	case response := <-replies:
		return response
	default:
	}
	if withdrawing { // it waited for holders of copies
		return withdrawnLocally(apiReq.entry)
	}
	return apiResponse{status: http.StatusAccepted}
}

// withdrawnHere is the answer to the client of a message that has ended here, while a holder of a copy may not know of that: an
// heir may deliver it. Where that must not happen twice, its client is not told that it may come again.
func withdrawnLocally(entry *journal.Entry) apiResponse {
	if entry.Terms != nil && entry.Terms.Class.Effect == choice.Unsafe {
		return apiResponse{status: http.StatusInternalServerError, text: "it is not known whether it will be delivered"}
	}
	return apiResponse{status: http.StatusServiceUnavailable, retryAfter: defaultRetryAfter, text: "too few copies"}
}

// withdraw ends a message whose client left unanswered: it may hand it in again under
// another id. It tells whether it did, and calls then once it is known whether that counts. One that was sent, or came twice, goes
// on; its id may still be in use. So does one whose end cannot be recorded at once: the next start would deliver it.
func (r *Relay) withdraw(id string, onResult func(confirmed bool)) bool {
	msg := r.held[id]
	if r.heir != nil || msg == nil || msg.Tries > 0 || msg.twice {
		return false
	}
	r.flush()
	if err := r.bindInOrder([]journal.Record{{Op: journal.OpEnd, ID: id}}, countIn, onResult); err != nil {
		slog.Error("message not withdrawn", "err", err, "remedy", remedy.Of(err))
		return false
	}
	r.events = append(r.events, choice.Withdrawn{ID: id})
	r.release(msg)
	return true
}

// answerRecorded answers a client whose message is on record, but not held. It must not be recorded a second time: the end
// of the one on record would end both. One whose notice is owed has ended; of any other it is not known yet who delivers it.
func (r *Relay) respondRecorded(apiReq *apiRequest, entry *journal.Entry) {
	if entry.Status != "" {
		apiReq.reply <- apiResponse{status: http.StatusAccepted}
		return
	}
	r.answerUncounted(&message{Entry: entry, fresh: []*apiRequest{apiReq}})
}
