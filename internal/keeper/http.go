package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"larchrouter/internal/keeper/api"
	"larchrouter/internal/keeper/state"
	"larchrouter/internal/remedy"
)

// Bounds of what callers may ask.
const (
	callMost    = 64 << 10
	proposeMost = 12 << 20 // a document of the largest size, as JSON in JSON
	waitMost    = time.Minute
	nameMost    = 200
	openMost    = 20000 // calls at a time
)

// refusal is an answer other than 2xx.
type refusal struct {
	status int
	text   string
}

func (r *refusal) Error() string { return r.text }

// Remedy says what an operator can do.
func (r *refusal) Remedy() string {
	if r.status == http.StatusServiceUnavailable {
		return "try again in a moment"
	}
	return "correct the call: see docs/keepers.md for what it takes"
}

func refuse(status int, format string, args ...any) error {
	return &refusal{status, fmt.Sprintf(format, args...)}
}

func (k *Keeper) handler() http.Handler {
	open := make(chan struct{}, openMost)
	mux := http.NewServeMux()
	handle := func(pattern string, most int64, do func(ctx context.Context, req *http.Request, body []byte) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, req *http.Request) {
			select {
			case open <- struct{}{}:
				defer func() { <-open }()
			default:
				k.answer(w, nil, refuse(http.StatusServiceUnavailable, "too many calls at a time"))
				return
			}
			body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, most))
			if err != nil {
				k.answer(w, nil, refuse(http.StatusBadRequest, "the body cannot be read: %v", err))
				return
			}
			out, err := do(req.Context(), req, body)
			k.answer(w, out, err)
		})
	}
	handle("POST "+api.SessionPath, callMost, func(ctx context.Context, _ *http.Request, body []byte) (any, error) { return k.session(ctx, body) })
	word := func(event func(api.Word) state.Event) func(context.Context, *http.Request, []byte) (any, error) {
		return func(_ context.Context, _ *http.Request, body []byte) (any, error) {
			var w api.Word
			if err := decode(body, &w); err != nil {
				return nil, err
			}
			_, err := k.agreed(event(w))
			return nil, err
		}
	}
	handle("POST "+api.ConfirmPath, callMost, word(func(w api.Word) state.Event {
		return state.Event{Confirm: &state.Confirm{Name: w.Name, Instance: w.Instance, Turn: w.Turn}}
	}))
	handle("POST "+api.RejectPath, callMost, word(func(w api.Word) state.Event {
		return state.Event{Reject: &state.Reject{Name: w.Name, Instance: w.Instance, Number: w.Number, Reason: w.Reason}}
	}))
	handle("POST "+api.LeavePath, callMost, word(func(w api.Word) state.Event {
		return state.Event{Leave: &state.Leave{Name: w.Name, Instance: w.Instance}}
	}))
	handle("POST "+api.GenerationsPath, proposeMost, func(_ context.Context, _ *http.Request, body []byte) (any, error) { return k.propose(body) })
	handle("POST "+api.GiveUpPath, callMost, func(_ context.Context, _ *http.Request, body []byte) (any, error) {
		var g api.Withdrawal
		if err := decode(body, &g); err != nil {
			return nil, err
		}
		r, err := k.agreed(state.Event{GiveUp: &state.GiveUp{Op: g.Op, Number: g.Number, Who: g.Who, Why: g.Why}})
		return api.Made{Number: r.Number}, err
	})
	handle("POST "+api.RejoinPath, callMost, func(_ context.Context, _ *http.Request, body []byte) (any, error) { return nil, k.rejoin(body) })
	handle("POST "+api.PromotePath, callMost, func(_ context.Context, _ *http.Request, body []byte) (any, error) { return nil, k.promote(body) })
	handle("GET "+api.GenerationsPath, 0, func(context.Context, *http.Request, []byte) (any, error) { return k.generations(), nil })
	handle("GET "+api.GenerationsPath+"/{number}", 0, func(_ context.Context, req *http.Request, _ []byte) (any, error) {
		n, err := strconv.ParseUint(req.PathValue("number"), 10, 64)
		if err != nil {
			return nil, refuse(http.StatusBadRequest, "%q is no number", req.PathValue("number"))
		}
		var g *api.Generation
		k.machine.read(func(s *state.State) { g = outward(s.Generation(n), true) })
		if g == nil {
			return nil, refuse(http.StatusNotFound, "generation %d is not known, or no longer", n)
		}
		return g, nil
	})
	handle("GET "+api.EstatesPath, 0, func(_ context.Context, req *http.Request, _ []byte) (any, error) {
		if holder := req.URL.Query().Get("holder"); holder != "" {
			return k.held(holder)
		}
		return k.estates("")
	})
	handle("POST "+api.EstatesPath, callMost, func(_ context.Context, _ *http.Request, body []byte) (any, error) { return k.estate(body) })
	handle("GET "+api.StatusPath, 0, func(context.Context, *http.Request, []byte) (any, error) { return k.status(), nil })
	return mux
}

// answer writes an answer, with where the leader is if it has to come from there.
func (k *Keeper) answer(w http.ResponseWriter, out any, err error) {
	status := http.StatusOK
	var r *refusal
	switch {
	case err == nil && out == nil:
		w.WriteHeader(http.StatusNoContent)
		return
	case err == nil:
	case errors.As(err, &r):
		status, out = r.status, api.Problem{Error: r.text, Remedy: r.Remedy()}
	case errors.Is(err, errNotLeader):
		p := api.Problem{Error: err.Error(), Remedy: remedy.Of(err), Leader: k.leader()}
		status, out = http.StatusMisdirectedRequest, p
		if p.Leader == "" {
			status = http.StatusServiceUnavailable
		}
	case errors.Is(err, errNoSession), errors.Is(err, state.ErrUnknown):
		status, out = http.StatusGone, api.Problem{Error: err.Error(), Remedy: remedy.Of(err)}
	case errors.Is(err, state.ErrDoc), errors.Is(err, state.ErrBadEvent):
		status, out = http.StatusBadRequest, api.Problem{Error: err.Error(), Remedy: remedy.Of(err)}
	default: // the state machine's word on what does not go now
		status, out = http.StatusConflict, api.Problem{Error: err.Error(), Remedy: remedy.Of(err)}
	}
	data, merr := json.Marshal(out)
	if merr != nil {
		slog.Error("answer not written", "err", merr)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

// decode reads a call. What it does not know is a mistake, or a newer version's: it is not passed over.
func decode(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return refuse(http.StatusBadRequest, "the call cannot be read: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return refuse(http.StatusBadRequest, "the call cannot be read: more than one")
	}
	return nil
}

// agreed has an event agreed on, if this keeper leads.
func (k *Keeper) agreed(e state.Event) (state.Result, error) {
	if !k.leads() {
		return state.Result{}, errNotLeader
	}
	return k.apply(e)
}
