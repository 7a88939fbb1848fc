package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"larchrouter/internal/keeper/api"
	"larchrouter/internal/lab/history"
	"larchrouter/internal/lab/scenario"
)

// Proposals of settings to the keepers.

// proposeTimeout is how long the operators retry a change while keepers do not answer.
const proposeTimeout = 30 * time.Second

// propose proposes the settings changed by a step to the keepers and retries until they answer. It is an error if they accept
// settings that the step has broken on purpose.
func (run *labRun) propose(ctx context.Context, st scenario.Step, number int) error {
	run.mu.Lock()
	if run.proposedSettings == nil {
		run.proposedSettings = run.draw.Settings(run.scenario, 0)
	}
	next := run.proposedSettings
	applyStep(next, st)
	data, err := json.Marshal(map[string]any{"settings": next})
	run.mu.Unlock()
	if err != nil {
		return err
	}
	switch st.Break {
	case "cut", "empty":
		data = []byte(`{"settings":{}}`)
	case "missing":
		data = []byte(`{"settings":{"rules":{}}}`)
	}
	c := run.operatorClient()
	change := api.Proposal{OperationID: fmt.Sprintf("step-%d", number), Doc: data, Who: operatorName, Why: "a step of the scenario"}
	for end := time.Now().Add(proposeTimeout); ; time.Sleep(50 * time.Millisecond) {
		callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		var generations []api.Generation
		var created api.ChangeResponse
		err := c.Call(callCtx, http.MethodGet, api.GenerationsPath, nil, &generations)
		if err == nil {
			change.Base = 0
			for _, g := range generations { // the newest that is in effect or being rolled out
				if g.Stage != "given up" && g.Stage != "past" {
					change.Base = max(change.Base, g.Number)
				}
			}
			err = c.Call(callCtx, http.MethodPost, api.GenerationsPath, change, &created)
		}
		cancel()
		var refusal *api.RefusedError
		switch {
		case err == nil && st.Break != "":
			return fmt.Errorf("a broken document was accepted as generation %d", created.Number)
		case err == nil:
			run.record(history.Event{Kind: history.Step, Text: fmt.Sprintf("generation %d is asked for", created.Number)})
			run.mu.Lock()
			run.acceptedGenerations = append(run.acceptedGenerations, created.Number)
			run.mu.Unlock()
			return nil
		case errors.As(err, &refusal) && st.Break != "":
			return nil
		case errors.As(err, &refusal) && refusal.Status == http.StatusConflict && strings.Contains(refusal.Text, "another generation"):
			change.OperationID += "'" // the list came from a keeper that lagged behind; the refusal of this Op is final, so the next try needs another
		case errors.As(err, &refusal), ctx.Err() != nil, time.Now().After(end):
			return err
		}
	}
}

// checkAcceptedGenerations checks at the end of the run that the leader knows all generations that the operators were told were
// accepted.
func (run *labRun) checkAcceptedGenerations(ctx context.Context) {
	if len(run.keepers) == 0 || ctx.Err() != nil {
		return
	}
	run.mu.Lock()
	accepted := slices.Clone(run.acceptedGenerations)
	run.mu.Unlock()
	var generations []api.Generation
	var err error
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if k := run.leader(ctx); k != nil {
			if err = run.operatorClient().CallKeeper(ctx, k.frontAddr, http.MethodGet, api.GenerationsPath, nil, &generations); err == nil {
				break
			}
		}
	}
	if err != nil {
		run.reportProblem("accepted changes", err)
		return
	}
	for _, n := range accepted {
		if !slices.ContainsFunc(generations, func(g api.Generation) bool { return g.Number == n }) {
			run.reportProblem("accepted changes", fmt.Errorf("generation %d was accepted and is not known", n))
		}
	}
	for _, g := range generations {
		run.record(history.Event{Kind: history.Step, Text: fmt.Sprintf("generation %d is %s %s", g.Number, g.Stage, g.Reason)})
	}
}
