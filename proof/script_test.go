package proof

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestScripts runs the programs from the command line as operators would.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			e.Setenv("PATH", programs+string(os.PathListSeparator)+os.Getenv("PATH"))
			e.Setenv("EXAMPLES", examples)
			for _, n := range []string{"PLATFORM", "CALLER", "ENTRY", "OPERATOR", "UPSTREAM"} {
				e.Setenv(n, freeAddress(t))
			}
			return nil
		},
	})
}
