package configerror

import "testing"

// A mistake in a JSON file must be reported with the line of its setting, or of the object that
// lacks it.
func TestJSONLine(t *testing.T) {
	text := []byte("{\"a\": 1,\n \"b\": {\n  \"c\": [\n   {\"d\": 1},\n   {\"d\": 2}]},\n \"e\": null}\n")
	for setting, want := range map[string]int{
		"a": 1, "b": 2, "b.c": 3, "b.c[1].d": 5, "b.c[1].missing": 5, "b.gone.deep": 2, "e": 6, "nowhere": 1,
	} {
		if got := JSONLine(text, setting); got != want {
			t.Errorf("%s: line %d, want %d", setting, got, want)
		}
	}
	if got := JSONLine([]byte("{"), "a"); got != 0 {
		t.Errorf("invalid JSON: line %d, want 0", got)
	}
}
