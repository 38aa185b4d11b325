// Command standin runs a small stand-in for a system that radishweir talks to:
// the platform with its key-value service and VM list, an upstream, or a network
// with faults.
//
// # Usage
//
//	standin platform --address 127.0.0.1:7900
//	standin upstream --address 127.0.0.1:8001 --name upstream-1 --speed 2
//	standin proxy
//
// Admin calls switch faults on and off; packages platformer and worker describe
// them. Proxies read the commands of package proxier from standard input, and end with
// it. Stand-ins are for tests and demonstrations only.
package main

import (
	"fmt"
	"net/http"
	"os"

	"github.com/integrii/flaggy"

	"radishweir.org/standin/platformer"
	"radishweir.org/standin/proxier"
	"radishweir.org/standin/worker"
)

func main() {
	address := "127.0.0.1:7900"
	w := worker.Worker{Name: "upstream", Slots: worker.DefaultSlots, Speed: 1}
	flaggy.SetName("standin")
	flaggy.SetDescription("stand-ins for the platform, for upstreams and for the network")
	platform := flaggy.NewSubcommand("platform")
	platform.Description = "key-value service and VM list"
	platform.String(&address, "a", "address", "IP number and port to listen on")
	upstream := flaggy.NewSubcommand("upstream")
	upstream.Description = "an upstream that runs tasks by waiting"
	upstream.String(&address, "a", "address", "IP number and port to listen on")
	upstream.String(&w.Name, "n", "name", "name of the upstream")
	upstream.Int(&w.Slots, "l", "slots", "tasks that run at once")
	upstream.Float64(&w.Speed, "p", "speed", "factor by which tasks run faster")
	proxy := flaggy.NewSubcommand("proxy")
	proxy.Description = "proxies for connections with faults, until standard input ends"
	flaggy.AttachSubcommand(platform, 1)
	flaggy.AttachSubcommand(upstream, 1)
	flaggy.AttachSubcommand(proxy, 1)
	flaggy.Parse()

	var h http.Handler
	switch {
	case platform.Used:
		h = platformer.New().Handler()
	case upstream.Used:
		h = w.Handler()
	case proxy.Used:
		if err := proxier.Run(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "standin:", err)
			os.Exit(1)
		}
		return
	default:
		flaggy.ShowHelpAndExit("name a stand-in: platform, upstream or proxy")
	}
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: worker.HeaderTimeout}
	fmt.Fprintln(os.Stderr, "standin:", s.ListenAndServe())
	os.Exit(1)
}
