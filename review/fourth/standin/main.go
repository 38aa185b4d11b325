// Command trial plays one case of a review against the project's own entry program, with
// stand-ins for the platform's store, workers and clients, on loopback and the real clock.
//
// It exits with 1 if a rule was broken, 0 if all held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the cases by name.
var cases = map[string]func(t *trial){}

// trial is one play of a case.
type trial struct {
	*site
	// trouble is false if the case is played without its disruption.
	trouble bool
	seed    uint64
	length  time.Duration
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/radishweir", "the entry program")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	seed := flag.Uint64("seed", 1, "seed")
	length := flag.Duration("length", 40*time.Second, "length of a soak")
	logs := flag.String("logs", "", "directory to which the logs of the entries are copied")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "trial: no such case")
		os.Exit(2)
	}
	os.Exit(run(play, *program, *record, *logs, *trouble, *seed, *length))
}

// run plays a case and returns the exit status.
func run(play func(t *trial), program, record, logs string, trouble bool, seed uint64, length time.Duration) (status int) {
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		return 2
	}
	j := newJudge(record)
	s := newSite(j, program, seed)
	defer s.stop()
	s.stopOnSignal()
	defer func() {
		if p := recover(); p != nil {
			j.note("could not run: %v", p)
			fmt.Fprintln(os.Stderr, p)
			status = 2
		}
	}()
	if logs != "" {
		defer s.copyLogs(logs)
	}
	play(&trial{site: s, trouble: trouble, seed: seed, length: length})
	list := j.violations()
	for _, v := range list {
		fmt.Println("BROKEN", v)
	}
	j.note("%d broken", len(list))
	if len(list) > 0 {
		return 1
	}
	return 0
}

// stopOnSignal ends what the play has started, and the play, at a signal.
func (s *site) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.stop()
		os.Exit(2)
	}()
}

// copyLogs copies the logs of the entries to a directory.
func (s *site) copyLogs(to string) {
	for _, name := range s.names {
		data, _ := os.ReadFile(s.entries[name].log.Name())
		_ = os.WriteFile(to+"/"+name+".log", data, 0o600)
	}
}
