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
func (r *Relay) afterLeaving(in *intake) answer {
	withdrawn := answer{status: http.StatusServiceUnavailable, after: comeBack, text: "withdrawn"}
	said := make(chan answer, 1)
	begun := false // belongs to the loop until that has ended
	r.post(func() {
		begun = r.withdraw(in.entry.ID, func(counts bool) {
			if counts {
				said <- withdrawn
			} else {
				said <- withdrawnHere(in.entry)
			}
		})
		switch {
		case begun:
		case r.withdrawStored(in.entry):
			said <- withdrawn
		default:
			said <- answer{status: http.StatusAccepted}
		}
	})
	select {
	case a := <-said:
		return a
	case <-r.halted: // what the loop has said by then holds: the record says so
	}
	select {
	case a := <-said:
		return a
	default:
	}
	if begun { // it waited for holders of copies
		return withdrawnHere(in.entry)
	}
	return answer{status: http.StatusAccepted}
}

// withdrawnHere is the answer to the client of a message that has ended here, while a holder of a copy may not know of that: an
// heir may deliver it. Where that must not happen twice, its client is not told that it may come again.
func withdrawnHere(e *journal.Entry) answer {
	if e.Terms != nil && e.Terms.Class.Effect == choice.Unsafe {
		return answer{status: http.StatusInternalServerError, text: "it is not known whether it will be delivered"}
	}
	return answer{status: http.StatusServiceUnavailable, after: comeBack, text: "too few copies"}
}

// withdraw ends a message whose client left unanswered: it may hand it in again under
// another id. It tells whether it did, and calls then once it is known whether that counts. One that was sent, or came twice, goes
// on; its id may still be in use. So does one whose end cannot be recorded at once: the next start would deliver it.
func (r *Relay) withdraw(id string, then func(counts bool)) bool {
	m := r.held[id]
	if r.heir != nil || m == nil || m.Tries > 0 || m.twice {
		return false
	}
	r.flush()
	if err := r.bindInOrder([]journal.Record{{Op: journal.OpEnd, ID: id}}, countIn, then); err != nil {
		slog.Error("message not withdrawn", "err", err, "remedy", remedy.Of(err))
		return false
	}
	r.events = append(r.events, choice.Withdrawn{ID: id})
	r.release(m)
	return true
}

// answerRecorded answers a client whose message is on record, but not held. It must not be recorded a second time: the end
// of the one on record would end both. One whose notice is owed has ended; of any other it is not known yet who delivers it.
func (r *Relay) answerRecorded(in *intake, e *journal.Entry) {
	if e.NoticeStatus != "" {
		in.reply <- answer{status: http.StatusAccepted}
		return
	}
	r.answerUncounted(&message{Entry: e, fresh: []*intake{in}})
}
