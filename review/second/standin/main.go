// Command standin-2 plays the cases of the second review: it is the platform's store, the
// workers and the clients of a small deployment, and starts the entries as processes of their
// own. It checks the rules on what clients and workers see.
//
//	standin-2 SCENE FOLDER
//
// It writes record.txt into the folder, and ends with 1 if the scene's rule was broken, 0 if it
// held and 2 if the scene could not run. With TROUBLE=0 in its environment the disruptions are left
// out; with the name of one of them, all others are.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the longest time that a scene may take.
const longest = 110 * time.Second

// scenes holds the scenes by name. Each returns the rule that it is about.
var scenes = map[string]func(b *bench, trouble func(string) bool) string{
	"held": sceneHeld, "replaced": sceneReplaced, "again": sceneAgain, "parted": sceneParted, "kind": sceneKind,
}

func main() {
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 SCENE FOLDER")
		os.Exit(2)
	}
	time.AfterFunc(longest, func() { fatal("scene", errors.New("it takes too long")) })
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() { fatal("scene", fmt.Errorf("ended by signal %v", <-stopped)) }()
	b := newBench(os.Args[2])
	rule := scenes[os.Args[1]](b, trouble)
	b.close()
	b.rules.review()
	one, all := b.rules.count(rule)
	b.log.add("result", "rule", rule, "broken", one, "all_rules", all, "lines_left_out", b.log.hidden)
	fmt.Printf("%s was broken %d times, all rules %d times\n", rule, one, all)
	if one > 0 {
		os.Exit(1)
	}
}

// trouble reports whether a disruption of the scene is played.
func trouble(name string) bool {
	v := os.Getenv("TROUBLE")
	return v == "" || v == "1" || v == name
}
