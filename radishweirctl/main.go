// Command radishweirctl is the operators' command line.
//
// # Usage
//
//	radishweirctl questionnaire check claims.toml
//	radishweirctl questionnaire apply claims.toml --wait
//	radishweirctl status
//
// Exit codes: 0 success, 1 failure, 2 invalid usage, settings or questionnaire,
// 3 conflict with another operator's change, 4 outcome unknown, 5 configuration
// not in force before the timeout.
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
