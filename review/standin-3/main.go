// Command standin-3 plays the cases of the third review: small stand-ins of clients, servers and the platform around the project's own
// processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Results of a case, which are the exit codes of its script.
const (
	held    = 0
	broken  = 1
	unknown = 2
)

var cases = map[string]func(*play) int{
	"11": playEndless,
	"12": playStorm,
	"13": playStale,
	"14": playOutage,
}

// play is one play of a case.
type play struct {
	root, dir string
	trouble   bool
	record    *record
	store     *store
	gateways  []*gateway
}

func (p *play) addGateway(name, zone string, linkMbps float64) *gateway {
	g := newGateway(p.root, p.dir, name, zone, p.store.serve(name), linkMbps)
	p.gateways = append(p.gateways, g)
	return g
}

// startGateways starts all gateways and waits until they are ready.
func (p *play) startGateways() bool {
	for _, g := range p.gateways {
		g.start(p.root)
	}
	for _, g := range p.gateways {
		if !g.awaitReady(15 * time.Second) {
			p.record.note("%s isn't ready", g.name)
			return false
		}
	}
	return true
}

func main() {
	root := flag.String("root", ".", "the project's folder")
	out := flag.String("out", ".", "the folder of record.txt")
	flag.Parse()
	os.Exit(mainResult(*root, *out, flag.Arg(0)))
}

func mainResult(root, out, name string) int {
	body, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return unknown
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		panic(err)
	}
	p := &play{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: newStore(),
		record: newRecord(filepath.Join(out, "record.txt"))}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		for _, g := range p.gateways {
			g.signal(syscall.SIGKILL)
		}
		os.Exit(unknown)
	}()
	defer func() {
		for _, g := range p.gateways {
			g.kill()
		}
		p.record.close()
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(dir)
		} else {
			fmt.Println("kept", dir)
		}
	}()
	return body(p)
}

// verdict prints and records the result.
func (p *play) verdict(result int, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	word := map[int]string{held: "held", broken: "BROKEN", unknown: "couldn't run"}[result]
	p.record.note("%s: %s", word, text)
	fmt.Printf("%s: %s\n", word, text)
	return result
}
