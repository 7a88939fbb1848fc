package settings

import (
	"encoding/json"

	"larchrouter/internal/schema"
)

// Schema describes the settings object as the page WIRE does: a member is optional only where the page says so. It also
// has the members that relays do not use, so that a file is recognized as incomplete whichever member it lacks.
var Schema = schema.Object{Required: map[string]schema.Value{
	"bounds": schema.Object{Required: schema.Members("cancel", "conn-idle", "cpu-us-per-request", "cpu-us-per-s", "dial-timeout", "max-attempts",
		"max-retry-after", "most-held", "peers", "probes", "retry-after", "second-copies", "streams-per-conn")},
	"classes":       schema.List{Elements: classSchema},
	"client-habits": schema.Object{Required: schema.Members("marks-retry")},
	"domain-type":   schema.Any{},
	"family-info": schema.Object{Required: schema.Members("late", "notes", "own-limits", "per-call", "refused-price", "report-x0", "report-x1",
		"workers", "zone-fee")},
	"fleet-size":       schema.Any{},
	"goal":             schema.Object{Required: schema.Members("whole", "worst-class", "worst-tenant", "worst-window")},
	"index":            schema.Any{},
	"load-report":      schema.Object{Required: schema.Members("columns", "how")},
	"over-share-worth": schema.Any{},
	"prices": schema.Object{Required: schema.Members("connection", "cross-zone", "handshake", "late-fail", "moves", "origin", "peer", "probe",
		"registry-mode", "waste"), Optional: schema.Members("fleet")},
	"registry-mode": schema.Any{},
	"rules": schema.Object{Required: schema.Members("ask-within", "cold", "cold-from", "drain-grace", "fall", "grace-to-answer", "overload-factor"),
		Optional: schema.Members("order-settle")},
	"skus":     schema.List{Elements: schema.Any{}},
	"tenants":  schema.List{Elements: schema.Object{Required: schema.Members("fraction", "name", "quota-per-s")}},
	"tick":     schema.Any{},
	"tier":     schema.Any{},
	"tiers":    schema.List{Elements: schema.Any{}},
	"weights":  schema.Any{},
	"worth-by": schema.Any{},
	"zone":     schema.Any{},
	"zones":    schema.List{Elements: schema.Any{}},
}}

// classSchema describes an element of classes.
var classSchema = schema.Object{
	Required: schema.Members("aim", "effect", "give-up", "late-share", "name", "stream", "worth"),
	Optional: schema.Members("aim-stretch", "group", "keep-order", "window"),
	RequiredIf: func(class map[string]any) []string {
		if class["effect"] == effectDeduplicated {
			return []string{"group", "window"}
		}
		return nil
	},
}

// CheckComplete returns an error if a settings object lacks a member that Schema requires, as in a file that was replaced
// in part only.
func CheckComplete(object json.RawMessage) error { return schema.Check(object, Schema) }
