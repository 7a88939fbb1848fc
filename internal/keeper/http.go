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

// Limits of calls.
const (
	maxCallBytes     = 64 << 10    // bytes of a call other than a proposal
	maxProposalBytes = 12 << 20    // bytes of a proposal: a document of the largest size, as JSON within JSON
	maxWait          = time.Minute // for an update of a session
	maxNameBytes     = 200         // bytes of a name or another short text
	maxOpenCalls     = 20000       // concurrent calls
)

// refusal is an error with the status and text of its answer.
type refusal struct {
	status int
	text   string
}

func (r *refusal) Error() string { return r.text }

// Remedy returns advice to the operator.
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
	slots := make(chan struct{}, maxOpenCalls)
	mux := http.NewServeMux()
	handle := func(pattern string, maxBytes int64, serve func(ctx context.Context, req *http.Request, body []byte) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, req *http.Request) {
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
			default:
				k.writeAnswer(w, nil, refuse(http.StatusServiceUnavailable, "too many calls at a time"))
				return
			}
			body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBytes))
			if err != nil {
				k.writeAnswer(w, nil, refuse(http.StatusBadRequest, "the body cannot be read: %v", err))
				return
			}
			out, err := serve(req.Context(), req, body)
			k.writeAnswer(w, out, err)
		})
	}
	handle("POST "+api.SessionPath, maxCallBytes, func(ctx context.Context, _ *http.Request, body []byte) (any, error) { return k.serveSession(ctx, body) })
	memberReport := func(event func(api.MemberReport) state.Event) func(context.Context, *http.Request, []byte) (any, error) {
		return func(_ context.Context, _ *http.Request, body []byte) (any, error) {
			var report api.MemberReport
			if err := decode(body, &report); err != nil {
				return nil, err
			}
			_, err := k.applyAsLeader(event(report))
			return nil, err
		}
	}
	handle("POST "+api.ConfirmPath, maxCallBytes, memberReport(func(report api.MemberReport) state.Event {
		return state.Event{Confirm: &state.Confirm{Name: report.Name, Instance: report.Instance, Revision: report.Revision}}
	}))
	handle("POST "+api.RejectPath, maxCallBytes, memberReport(func(report api.MemberReport) state.Event {
		return state.Event{Reject: &state.Reject{Name: report.Name, Instance: report.Instance, Number: report.Number, Reason: report.Reason}}
	}))
	handle("POST "+api.LeavePath, maxCallBytes, memberReport(func(report api.MemberReport) state.Event {
		return state.Event{Leave: &state.Leave{Name: report.Name, Instance: report.Instance}}
	}))
	handle("POST "+api.GenerationsPath, maxProposalBytes, func(_ context.Context, _ *http.Request, body []byte) (any, error) { return k.propose(body) })
	handle("POST "+api.GiveUpPath, maxCallBytes, func(_ context.Context, _ *http.Request, body []byte) (any, error) {
		var generation api.GiveUp
		if err := decode(body, &generation); err != nil {
			return nil, err
		}
		r, err := k.applyAsLeader(state.Event{GiveUp: &state.GiveUp{OperationID: generation.OperationID, Number: generation.Number, Who: generation.Who, Why: generation.Why}})
		return api.ChangeResponse{Number: r.Number}, err
	})
	handle("POST "+api.RejoinPath, maxCallBytes, func(_ context.Context, _ *http.Request, body []byte) (any, error) { return nil, k.rejoin(body) })
	handle("POST "+api.PromotePath, maxCallBytes, func(_ context.Context, _ *http.Request, body []byte) (any, error) { return nil, k.promote(body) })
	handle("GET "+api.GenerationsPath, 0, func(context.Context, *http.Request, []byte) (any, error) { return k.generations(), nil })
	handle("GET "+api.GenerationsPath+"/{number}", 0, func(_ context.Context, req *http.Request, _ []byte) (any, error) {
		n, err := strconv.ParseUint(req.PathValue("number"), 10, 64)
		if err != nil {
			return nil, refuse(http.StatusBadRequest, "%q is no number", req.PathValue("number"))
		}
		var generation *api.Generation
		k.stateMachine.read(func(s *state.State) { generation = apiGeneration(s.Generation(n), true) })
		if generation == nil {
			return nil, refuse(http.StatusNotFound, "generation %d is not known, or no longer", n)
		}
		return generation, nil
	})
	handle("GET "+api.GroupsPath, 0, func(_ context.Context, req *http.Request, _ []byte) (any, error) {
		if relay := req.URL.Query().Get("holder"); relay != "" {
			return k.replicaGroupIDs(relay)
		}
		return k.groups("")
	})
	handle("POST "+api.GroupsPath, maxCallBytes, func(_ context.Context, _ *http.Request, body []byte) (any, error) { return k.applyGroupEvent(body) })
	handle("GET "+api.StatusPath, 0, func(context.Context, *http.Request, []byte) (any, error) { return k.status(), nil })
	return mux
}

// writeAnswer writes an answer, with the address of the leader if the call has to go there.
func (k *Keeper) writeAnswer(w http.ResponseWriter, out any, err error) {
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
		p := api.Problem{Error: err.Error(), Remedy: remedy.Of(err), Leader: k.leaderAddr()}
		status, out = http.StatusMisdirectedRequest, p
		if p.Leader == "" {
			status = http.StatusServiceUnavailable
		}
	case errors.Is(err, errNoSession), errors.Is(err, state.ErrUnknownMember):
		status, out = http.StatusGone, api.Problem{Error: err.Error(), Remedy: remedy.Of(err)}
	case errors.Is(err, state.ErrInvalidDocument), errors.Is(err, state.ErrInvalidEvent):
		status, out = http.StatusBadRequest, api.Problem{Error: err.Error(), Remedy: remedy.Of(err)}
	default: // the state machine refuses the event in the present state
		status, out = http.StatusConflict, api.Problem{Error: err.Error(), Remedy: remedy.Of(err)}
	}
	data, marshalErr := json.Marshal(out)
	if marshalErr != nil {
		slog.Error("cannot encode the answer", "err", marshalErr)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}

// decode decodes the body of a call. An unknown field is an error: it is a mistake or belongs to a newer version, and
// must not be ignored.
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

// applyAsLeader commits and applies an event, if this keeper is the leader.
func (k *Keeper) applyAsLeader(event state.Event) (state.Result, error) {
	if !k.isLeader() {
		return state.Result{}, errNotLeader
	}
	return k.apply(event)
}
