package router

import (
	"bufio"
	"bytes"
	"encoding/json"
	"maps"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"dockhinge.example/dockhinge/internal/handover"
)

// The files in testdata were written by an earlier version of the program, before its fields were
// renamed. A release hands over to the next version and back, so the JSON keys and their meaning
// are an interface between versions. A renamed key would be read as absent: the new process would
// start without a list, with a disabled server enabled, or without the learned state.

// jsonPaths returns the paths of all keys of a JSON text. The elements of an array share a path.
func jsonPaths(t *testing.T, text []byte) []string {
	t.Helper()
	var value any
	if err := json.Unmarshal(text, &value); err != nil {
		t.Fatal(err)
	}
	paths := map[string]bool{}
	var walk func(at string, value any)
	walk = func(at string, value any) {
		switch value := value.(type) {
		case map[string]any:
			for key, v := range value {
				paths[at+"."+key] = true
				walk(at+"."+key, v)
			}
		case []any:
			for _, v := range value {
				walk(at+"[]", v)
			}
		}
	}
	walk("", value)
	return slices.Sorted(maps.Keys(paths))
}

func TestHandoverStateOfEarlierVersionIsReadAndWritten(t *testing.T) {
	text, err := os.ReadFile("testdata/handover_state.json")
	if err != nil {
		t.Fatal(err)
	}
	var state handoverState
	strict := json.NewDecoder(bytes.NewReader(text))
	strict.DisallowUnknownFields()
	if err := strict.Decode(&state); err != nil {
		t.Fatal(err)
	}

	t.Run("meaning", func(t *testing.T) {
		if l := state.List; l.Version != 2 || !l.IsComplete || len(l.Servers) != 7 {
			t.Errorf("list: version %d, complete %t, %d servers", l.Version, l.IsComplete, len(l.Servers))
		}
		for _, e := range state.List.Servers {
			want := listEntry{ID: e.ID, Addr: e.Addr, Zone: "a", Kind: "box", State: "active", Weight: 1}
			switch e.ID {
			case "s-0000000e":
				want.State = "leaving"
			case "s-00000063":
				want.Kind = "origin"
			}
			if _, err := netip.ParseAddrPort(e.Addr); err != nil || e != want {
				t.Errorf("server %+v, want %+v (%v)", e, want, err)
			}
		}
		ids := state.ServerIDs
		if len(ids.IDs) != 7 || len(ids.LastListed) != 7 || ids.ListCount != 8 || ids.IDs["s-0000000b"] != 11 ||
			ids.IDs["cache-named"] != serverID("cache-named") || ids.LastListed["s-0000000e"] != 8 {
			t.Errorf("server ids: %+v", ids)
		}
		if !slices.Equal(state.DisabledByOperator, []string{"s-0000000c"}) ||
			!slices.Equal(state.DisabledByFleet, []string{"s-0000000f"}) {
			t.Errorf("disabled by operator %q, by fleet %q", state.DisabledByOperator, state.DisabledByFleet)
		}
		if len(state.Decisions.Servers) != 7 || len(state.Decisions.Keys) == 0 || len(state.Decisions.DisabledAt) == 0 {
			t.Errorf("decisions: %d servers, %d keys, %d disabled servers", len(state.Decisions.Servers),
				len(state.Decisions.Keys), len(state.Decisions.DisabledAt))
		}
		if state.Admission == nil || len(state.Admission.Tenants) != 3 {
			t.Errorf("admission: %+v", state.Admission)
		}
	})

	t.Run("written again", func(t *testing.T) {
		again, err := json.Marshal(state)
		if err != nil {
			t.Fatal(err)
		}
		var was, is any
		if err := json.Unmarshal(text, &was); err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(again, &is); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(was, is) {
			t.Errorf("read and written again it differs:\n%s\n%s", text, again)
		}
	})
}

// A router that inherits the fixture and is asked for its own state must write the same keys.
func TestInheritedStateIsHandedOverWithTheSameKeys(t *testing.T) {
	text, err := os.ReadFile("testdata/handover_state.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig(t, "127.0.0.1:1", endpointList{})
	cfg.Admission = singleSlotAdmission()
	listener := listenLocal(t)
	next := newRouter(t, cfg, listener)
	if err := next.Inherit(text, nil); err != nil {
		t.Fatal(err)
	}
	runRouter(t, next, listener)
	eventually(t, next.loop, "the inherited list", func() bool { return len(next.loop.targets) == 7 })
	onLoop(next.loop, func() {
		if got := slices.Sorted(maps.Keys(next.loop.disabledByOperator)); !slices.Equal(got, []string{"s-0000000c"}) {
			t.Errorf("disabled by operator: %q", got)
		}
		if got := slices.Sorted(maps.Keys(next.loop.disabledByFleet)); !slices.Equal(got, []string{"s-0000000f"}) {
			t.Errorf("disabled by fleet: %q", got)
		}
		if _, avoided := next.loop.balancer.CountEndpoints(); avoided < 2 {
			t.Errorf("%d servers avoided, want the disabled ones at least", avoided)
		}
	})
	written, err := next.State(t.Context(), nil)
	if err != nil {
		t.Fatal(err)
	}
	// The cached keys in the fixture had no recent request, so they are cold and not handed over.
	// The test above checks the JSON keys of their state.
	isOfKey := func(path string) bool { return strings.HasPrefix(path, ".Module.Keys[]") }
	want := slices.DeleteFunc(jsonPaths(t, text), isOfKey)
	got := slices.DeleteFunc(jsonPaths(t, written), isOfKey)
	if !slices.Equal(want, got) {
		t.Errorf("the fixture has the keys\n%q\nthis program writes\n%q", want, got)
	}
}

func TestHandoverMessagesOfEarlierVersionAreReadAndWritten(t *testing.T) {
	text, err := os.ReadFile("testdata/handover_messages.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	entry := func(id, addr string) listEntry {
		return listEntry{ID: id, Addr: addr, Zone: "a", Kind: "box", State: "active", Weight: 1}
	}
	want := []struct {
		name, kind string
		body       any
	}{
		{"enable by an operator", disableKind, &disableCall{ServerID: "s-0000000c", IsListed: true}},
		{"disable by the fleet", disableKind,
			&disableCall{ServerID: "s-0000000b", Disabled: true, IsListed: true, ByFleet: true}},
		{"list", listKind, &endpointList{Version: 3, Servers: []listEntry{
			entry("s-00000011", "127.0.0.1:38401"), entry("s-00000012", "127.0.0.1:32899")}}},
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for _, c := range want {
		t.Run(c.name, func(t *testing.T) {
			if !lines.Scan() {
				t.Fatal("no such message")
			}
			var m handover.Message
			if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
				t.Fatal(err)
			}
			got := reflect.New(reflect.TypeOf(c.body).Elem()).Interface()
			if err := json.Unmarshal(m.Body, got); err != nil {
				t.Fatal(err)
			}
			if m.Kind != c.kind || !reflect.DeepEqual(got, c.body) {
				t.Errorf("%s %+v, want %s %+v", m.Kind, got, c.kind, c.body)
			}
			again, err := json.Marshal(c.body)
			if err != nil || !bytes.Equal(again, m.Body) {
				t.Errorf("written as %s, was %s (%v)", again, m.Body, err)
			}
		})
	}
}
