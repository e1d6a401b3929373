// Command crowd sends the requests of clients that nobody controls to real processes, one kind and one
// address at a time, and reports each process that ends, exceeds its memory or its descriptors, or
// leaves an ordinary request without its answer afterwards; see README.md.
package main

import (
	"flag"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// options are the flags of the command line.
type options struct {
	binary                           string
	connections, memory, descriptors int
	only                             string
	short                            bool
}

// holdTime is how long the clients stay open after they have sent.
const holdTime = time.Second

// shortCases are the cases of a short run, as process/setting/kind.
var shortCases = map[string]bool{
	"platform-entry/front/odd-lines": true, "platform-entry/front/body-short": true, "platform-entry/front/body-chunked": true,
	"platform-entry/front/silent": true, "platform-entry/link/link-endless": true, "platform-agent/control/body-short": true,
	"platform-agent/control/lines": true, "entry/operator/body-short": true,
}

// result is what one case has shown.
type result struct {
	name              string
	peakMB            int
	descriptors       int
	beside, afterward string
	faults            []string
}

// run plays one kind against one target of a new process.
func run(o options, d deployment, setting string, k kind) result {
	r := result{name: d.name + "/" + setting + "/" + k.name}
	if k.name == "silent" || k.name == "link-silent" {
		o.descriptors = o.connections // fewer than the clients need, with those kept for files
	}
	p, err := d.start(o)
	if err != nil {
		r.faults = append(r.faults, err.Error())
		return r
	}
	defer p.close()
	t := p.target(setting)
	var wg sync.WaitGroup
	clients := make([]net.Conn, o.connections)
	for i := range clients {
		wg.Go(func() { clients[i] = k.send(t, i) })
	}
	wg.Wait()
	time.Sleep(holdTime)
	r.descriptors = p.descriptors()
	r.beside = t.ask(o.connections)
	for _, conn := range clients {
		if conn != nil {
			_ = conn.Close() // it may be closed already
		}
	}
	r.afterward = t.ask(o.connections + 1)
	r.peakMB = p.peakMB()
	if !p.alive() {
		r.faults = append(r.faults, "the process has ended")
	}
	if r.peakMB > o.memory {
		r.faults = append(r.faults, fmt.Sprintf("%d MB of %d", r.peakMB, o.memory))
	}
	if r.descriptors > o.descriptors {
		r.faults = append(r.faults, fmt.Sprintf("%d descriptors of %d", r.descriptors, o.descriptors))
	}
	if r.afterward != "200" && r.afterward != "answered" {
		r.faults = append(r.faults, "an ordinary request afterwards: "+r.afterward)
	}
	return r
}

func main() {
	var o options
	flag.StringVar(&o.binary, "program", "bin/apricotwind", "`path` of the program")
	flag.IntVar(&o.connections, "connections", 400, "`number` of clients")
	flag.IntVar(&o.memory, "memory", 96, "`MB` of memory that a process may use")
	flag.IntVar(&o.descriptors, "descriptors", 4096, "`number` of descriptors that a process may open")
	flag.StringVar(&o.only, "only", "", "`text` that the names of the cases contain")
	flag.BoolVar(&o.short, "short", false, "play the cases of CI only")
	flag.Parse()
	failed, played := 0, 0
	for _, d := range deployments {
		for _, s := range d.settings {
			kinds := requestKinds
			if s == "link" {
				kinds = append(append([]kind{}, linkKinds...), requestKinds[0], requestKinds[2], requestKinds[4])
			}
			for _, k := range kinds {
				name := d.name + "/" + s + "/" + k.name
				if !strings.Contains(name, o.only) || o.short && !shortCases[name] {
					continue
				}
				r := run(o, d, s, k)
				verdict := "held"
				if len(r.faults) > 0 {
					verdict = "WRONG " + strings.Join(r.faults, "; ")
					failed++
				}
				played++
				fmt.Printf("%-40s peak %4d MB, %4d descriptors, beside %s, afterwards %s: %s\n", r.name, r.peakMB, r.descriptors, r.beside, r.afterward, verdict)
			}
		}
	}
	fmt.Printf("%d passed, %d failed\n", played-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}
