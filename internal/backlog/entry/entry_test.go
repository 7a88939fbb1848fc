package entry

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"larchrouter/choice"
	"larchrouter/internal/backlog"
	"larchrouter/internal/journal"
)

func sampleEntry() *journal.Entry {
	return &journal.Entry{ID: "9b1f03aa5c7e2d41", Class: "order-msg", Dest: 7, Tenant: "sibiu", Key: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", Due: 1796200000123, OrderKey: "k",
		Body: []byte(strings.Repeat("x", 200)), Terms: &choice.Terms{Attempts: 8, Class: choice.Class{Name: "order-msg", Aim: time.Second,
			Deadline: 6 * time.Second, Worth: 1, LateShare: 0.3, Effect: choice.Keyed, SameZone: true, Window: 4 * time.Second, Ordered: true}}}
}

// Guards against a message that changes when it is packed and unpacked, for any strings, terms or body, and against a
// message in doubt that counts as untried.
func TestPackRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringN(0, 40, -1)
		entry := &journal.Entry{ID: name.Draw(t, "id"), Class: name.Draw(t, "class"), Dest: rapid.Int().Draw(t, "dest"), Tenant: name.Draw(t, "tenant"),
			Key: name.Draw(t, "key"), OrderKey: name.Draw(t, "order"), Due: rapid.Int64().Draw(t, "due"), Body: rapid.SliceOf(rapid.Byte()).Draw(t, "body")}
		if rapid.Bool().Draw(t, "terms") {
			span := func(label string) time.Duration { return time.Duration(rapid.Int64().Draw(t, label)) }
			entry.Terms = &choice.Terms{Attempts: rapid.Int().Draw(t, "attempts"), Class: choice.Class{Name: rapid.SampledFrom([]string{entry.Class, "other"}).Draw(t, "name"),
				Aim: span("aim"), Deadline: span("deadline"), Window: span("window"), Worth: rapid.Float64().Draw(t, "worth"), LateShare: rapid.Float64().Draw(t, "late"),
				Effect: choice.Effect(rapid.IntRange(0, 2).Draw(t, "effect")), SameZone: rapid.Bool().Draw(t, "zone"), Ordered: rapid.Bool().Draw(t, "ordered")}}
		}
		inDoubt := rapid.Bool().Draw(t, "doubt")
		got, err := Unpack(backlog.StoredMessage{Message: Pack(entry), Sequence: 1, InDoubt: inDoubt})
		if err != nil {
			t.Fatal(err)
		}
		want := *entry
		want.MayHaveRun = inDoubt
		if a, b := describe(got), describe(&want); a != b {
			t.Fatalf("packed\n%s\nunpacked\n%s", b, a)
		}
	})
}

func describe(e *journal.Entry) string {
	c, terms := *e, "none"
	if c.Terms != nil {
		terms = fmt.Sprintf("%+v", *c.Terms)
	}
	c.Terms = nil
	return fmt.Sprintf("%+v terms %s", c, terms)
}

// Guards against a new field of a class or its terms that Pack does not encode: it would be lost in the backlog.
func TestPackKeepsEveryTermsField(t *testing.T) {
	e := sampleEntry()
	got, err := Unpack(backlog.StoredMessage{Message: Pack(e)})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []reflect.Value{reflect.ValueOf(*got.Terms), reflect.ValueOf(got.Terms.Class)} {
		for i := range v.NumField() {
			if v.Field(i).IsZero() {
				t.Errorf("%s.%s is lost", v.Type(), v.Type().Field(i).Name)
			}
		}
	}
}

// Guards against an endless loop, a panic, or acceptance of data that is truncated or of a later version.
func TestUnpackUnreadableData(t *testing.T) {
	whole := Pack(sampleEntry())
	head := len(whole.Data) - 200
	for n := range head {
		_, err := Unpack(backlog.StoredMessage{Message: backlog.Message{ID: "m", Data: whole.Data[:n]}})
		if u := (*UnreadableError)(nil); !errors.As(err, &u) || u.ID != "m" || u.Remedy() == "" {
			t.Fatalf("truncated at %d of %d: %v", n, head, err)
		}
	}
	later := append([]byte{versionOne + 1}, whole.Data[1:]...)
	if _, err := Unpack(backlog.StoredMessage{Message: backlog.Message{ID: "m", Data: later}}); err == nil || !strings.Contains(err.Error(), "version 2") {
		t.Errorf("a later version: %v", err)
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add(Pack(sampleEntry()).Data)
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Unpack(backlog.StoredMessage{Message: backlog.Message{ID: "m", Data: data}})
		if err == nil && len(e.Body) > len(data) {
			t.Fatal("the body is longer than the data")
		}
	})
}

// Guards against packed data that grows: together with the store's overhead, fewer than 3 bytes may be written for each
// byte accepted.
func TestPackedDataIsShort(t *testing.T) {
	e := sampleEntry()
	accepted := len(e.Body) + len(e.ID) + len(e.Class) + len(e.Tenant) + len(e.Key)
	if n := len(Pack(e).Data); n > accepted+40 {
		t.Errorf("%d bytes of data for %d bytes accepted", n, accepted)
	}
}
