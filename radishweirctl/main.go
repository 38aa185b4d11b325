// Command radishweirctl is the operators' command line.
//
// # Usage
//
//	radishweirctl questionnaire check claims.toml
//	radishweirctl questionnaire apply claims.toml --wait
//	radishweirctl status
//
// Exit codes: 0 success, 1 failure, 2 bad usage, settings or questionnaire, 3
// lost against another operator, 4 result not known, 5 not in force in time.
package main

import (
	"os"

	"radishweir.org/radishweirctl/internal/commander"
)

// version is the release of the program.
const version = "0.1.0"

func main() {
	os.Exit(commander.Main(version, os.Stdout, os.Stderr))
}
