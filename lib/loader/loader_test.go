package loader_test

import (
	"testing"

	"radishweir.org/lib/loader"
)

// Operators must read in one line which key is wrong, without names of the program's own
// types.
func TestErrorsNameKeyAndLine(t *testing.T) {
	for data, want := range map[string]string{
		"delegation = \"yes\"\n": "a.toml: line 1: key delegation: the value has the wrong type",
		"\ndelegations = true\n": "a.toml: line 2: key delegations is unknown",
		"delegation = true\n":    "",
	} {
		var s struct {
			Delegation bool `toml:"delegation"`
		}
		err := loader.Parse("a.toml", []byte(data), &s, []loader.Field{{Key: "delegation", Value: &s.Delegation, Default: false}})
		got := ""
		if err != nil {
			got = err.Error()
		}
		if got != want {
			t.Errorf("%q: %q, want %q", data, got, want)
		}
	}
}
