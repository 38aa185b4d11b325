// Command standin runs a small stand-in for a system that radishweir talks to:
// the platform with its key-value service and VM list, or an upstream.
//
// # Usage
//
//	standin platform --address 127.0.0.1:7900
//	standin upstream --address 127.0.0.1:8001 --name upstream-1 --speed 2
//
// Admin calls switch faults on and off; packages platformer and worker describe
// them. Stand-ins are for tests and demonstrations only.
package main

import (
	"fmt"
	"net/http"
	"os"

	"github.com/integrii/flaggy"

	"radishweir.org/standin/platformer"
	"radishweir.org/standin/worker"
)

func main() {
	address := "127.0.0.1:7900"
	w := worker.Worker{Name: "upstream", Slots: worker.DefaultSlots, Speed: 1}
	flaggy.SetName("standin")
	flaggy.SetDescription("stand-ins for the platform and for upstreams")
	platform := flaggy.NewSubcommand("platform")
	platform.Description = "key-value service and VM list"
	platform.String(&address, "a", "address", "IP number and port to listen on")
	upstream := flaggy.NewSubcommand("upstream")
	upstream.Description = "an upstream that runs tasks by waiting"
	upstream.String(&address, "a", "address", "IP number and port to listen on")
	upstream.String(&w.Name, "n", "name", "name of the upstream")
	upstream.Int(&w.Slots, "l", "slots", "tasks that run at once")
	upstream.Float64(&w.Speed, "p", "speed", "factor by which tasks run faster")
	flaggy.AttachSubcommand(platform, 1)
	flaggy.AttachSubcommand(upstream, 1)
	flaggy.Parse()

	var h http.Handler
	switch {
	case platform.Used:
		h = platformer.New().Handler()
	case upstream.Used:
		h = w.Handler()
	default:
		flaggy.ShowHelpAndExit("name a stand-in: platform or upstream")
	}
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: worker.HeaderTimeout}
	fmt.Fprintln(os.Stderr, "standin:", s.ListenAndServe())
	os.Exit(1)
}
