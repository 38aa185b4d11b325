// Program third holds the stand-ins of the third review: the platform's store, workers and
// clients, and the checks of the rules by what these see.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: third CASE PROGRAM RECORD | third soak [options]")
		os.Exit(2)
	}
	if os.Args[1] == "soak" {
		soak(os.Args[2:])
		return
	}
	os.Exit(caseMain(os.Args[1:]))
}
