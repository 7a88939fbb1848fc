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
	"slices"
	"strconv"
	"time"

	"larchrouter/internal/keeper/api"
	"larchrouter/internal/keeper/state"
	"larchrouter/internal/settings"
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
		status, out = r.status, api.Problem{Error: r.text}
	case errors.Is(err, errNotLeader):
		p := api.Problem{Error: err.Error(), Leader: k.leader()}
		status, out = http.StatusMisdirectedRequest, p
		if p.Leader == "" {
			status = http.StatusServiceUnavailable
		}
	case errors.Is(err, errNoSession), errors.Is(err, state.ErrUnknown):
		status, out = http.StatusGone, api.Problem{Error: err.Error()}
	case errors.Is(err, state.ErrDoc), errors.Is(err, state.ErrBadEvent):
		status, out = http.StatusBadRequest, api.Problem{Error: err.Error()}
	default: // the state machine's word on what does not go now
		status, out = http.StatusConflict, api.Problem{Error: err.Error()}
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

// session begins or renews a member's, and waits for news.
func (k *Keeper) session(ctx context.Context, body []byte) (any, error) {
	var c api.Session
	if err := decode(body, &c); err != nil {
		return nil, err
	}
	if c.Name == "" || c.Instance == "" || max(len(c.Name), len(c.Instance), len(c.Zone), len(c.Version)) > nameMost || c.WaitMS < 0 || len(c.Have) > 8 {
		return nil, refuse(http.StatusBadRequest, "name or instance is empty or too long, or the wait below 0")
	}
	if !k.leads() {
		return nil, errNotLeader
	}
	s := session{c.Name, c.Instance}
	if !k.has(s) {
		// Counted before it is in the state: it must not be held to have run out as it begins.
		k.mu.Lock()
		counted := k.leases.renew(s, time.Now())
		k.mu.Unlock()
		if !counted {
			return nil, errNoSession
		}
		if _, err := k.apply(state.Event{Join: &state.Join{Name: c.Name, Instance: c.Instance, Before: c.Before, Zone: c.Zone, Version: c.Version}}); err != nil {
			k.mu.Lock()
			k.leases.ended(s)
			k.mu.Unlock()
			return nil, err
		}
	}
	end := time.NewTimer(min(time.Duration(c.WaitMS)*time.Millisecond, waitMost, time.Duration(k.conf.Lease)/2))
	defer end.Stop()
	for waits := true; waits; {
		turned := k.machine.turned()
		turn := uint64(0)
		k.machine.read(func(st *state.State) { turn = st.Turn })
		if turn != c.Turn {
			break
		}
		select {
		case <-turned:
		case <-end.C:
			waits = false
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-k.quit:
			return nil, errNotLeader
		}
	}
	if err := k.renew(s); err != nil {
		return nil, err
	}
	out := api.Standing{LeaseMS: time.Duration(k.conf.Lease).Milliseconds()}
	k.machine.read(func(st *state.State) {
		out.Turn = st.Turn
		with := func(g *state.Generation) *api.Generation {
			return outward(g, g != nil && !slices.Contains(c.Have, g.Number))
		}
		out.Force, out.Next = with(st.Force), with(st.Next)
		for _, m := range st.Members {
			if m.Name == c.Name && m.Instance == c.Instance {
				out.Confirmed = m.Turn
			}
		}
	})
	return out, nil
}

// propose has a change agreed on, once it has been checked as a relay would.
func (k *Keeper) propose(body []byte) (any, error) {
	var p api.Proposal
	if err := decode(body, &p); err != nil {
		return nil, err
	}
	if p.Op == "" || max(len(p.Op), len(p.Who)) > nameMost || len(p.Why) > 2000 {
		return nil, refuse(http.StatusBadRequest, "op is empty, or op, who or why too long")
	}
	if !k.leads() {
		return nil, errNotLeader
	}
	if p.To != 0 {
		k.machine.read(func(s *state.State) {
			if g := s.Generation(p.To); g != nil && g.Doc != nil {
				p.Doc = slices.Clone(g.Doc)
			}
		})
		if p.Doc == nil {
			return nil, refuse(http.StatusNotFound, "generation %d is not known, or its document no longer", p.To)
		}
	}
	if err := Check(p.Doc); err != nil {
		return nil, refuse(http.StatusBadRequest, "%v", err)
	}
	if p.DryRun {
		return api.Made{}, nil
	}
	r, err := k.agreed(state.Event{Propose: &state.Propose{Op: p.Op, Base: p.Base, Doc: p.Doc, Who: p.Who, Why: p.Why}})
	return api.Made{Number: r.Number}, err
}

// Document is what a generation holds.
type Document struct {
	// Settings is the settings object as a relay's configuration has it. A relay puts its own index and zone in.
	Settings json.RawMessage `json:"settings"`
}

// Check tells what makes a document one that no relay could act on.
func Check(doc json.RawMessage) error {
	var d Document
	if err := decode(doc, &d); err != nil {
		return fmt.Errorf("the document: %w", err)
	}
	if _, err := settings.Parse(d.Settings); err != nil {
		return fmt.Errorf("the document: settings: %w", err)
	}
	return nil
}

// generations are all that are remembered, the newest last, without their documents.
func (k *Keeper) generations() []api.Generation {
	out := []api.Generation{}
	k.machine.read(func(s *state.State) {
		all := slices.Clone(s.History)
		if s.Force != nil {
			all = append(all, s.Force)
		}
		if s.Next != nil {
			all = append(all, s.Next)
		}
		for _, g := range append(all, s.Queue...) {
			out = append(out, *outward(g, false))
		}
	})
	slices.SortFunc(out, func(a, b api.Generation) int { return int(int64(a.Number) - int64(b.Number)) })
	return out
}

// status is what this keeper knows.
func (k *Keeper) status() api.Status {
	out := api.Status{Keeper: k.conf.Name, LeaseMS: time.Duration(k.conf.Lease).Milliseconds()}
	if out.Leads = k.verified(); !out.Leads {
		out.AgeMS = -1
		if r := k.raft.Load(); r != nil && !r.LastContact().IsZero() {
			out.AgeMS = time.Since(r.LastContact()).Milliseconds()
		}
	}
	out.Leader, out.Fresh = k.leader(), k.fresh()
	k.machine.read(func(s *state.State) {
		out.Applied, out.Turn, out.Pending = s.Applied, s.Turn, s.Pending()
		out.Force, out.Next = outward(s.Force, false), outward(s.Next, false)
		for _, g := range s.Queue {
			out.Queue = append(out.Queue, *outward(g, false))
		}
		for _, m := range s.Members {
			out.Members = append(out.Members, api.Member{Name: m.Name, Instance: m.Instance, Zone: m.Zone, Version: m.Version, Turn: m.Turn, LeftMS: -1})
		}
	})
	if out.Leads {
		k.mu.Lock()
		defer k.mu.Unlock()
		for i, m := range out.Members {
			out.Members[i].LeftMS = k.leases.left(session{m.Name, m.Instance}, time.Now()).Milliseconds()
		}
	}
	return out
}

// outward is a generation as callers see it; nil for none.
func outward(g *state.Generation, doc bool) *api.Generation {
	if g == nil {
		return nil
	}
	out := &api.Generation{Number: g.Number, Base: g.Base, Stage: string(g.Stage), Sum: g.Sum, Who: g.Who, Why: g.Why, Reason: g.Reason}
	if doc {
		out.Doc = slices.Clone(g.Doc)
	}
	return out
}
