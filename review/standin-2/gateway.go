package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployment holds what all machines of a script share.
type deployment struct {
	record   *record
	store    *store
	folder   string // temporary
	memoryMB int
}

// gateway is one machine: a process of the project that the stand-in of the platform starts again when it ends.
type gateway struct {
	deployment *deployment
	name       string
	settings   string
	front      string
	ready      string

	// ended is closed when the process has been stopped for good.
	ended chan struct{}

	mu      sync.Mutex
	process *os.Process
	stopped bool
	// ends counts the ends of the process that the platform did not ask for; peakKB is the most memory that was seen.
	ends   int
	peakKB int
}

// Listeners of the machines get ports between these, which Linux doesn't take for outgoing connections.
const firstPort, lastPort = 10_000, 32_000

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	const tries = 100
	var err error
	for range tries {
		var listener net.Listener
		listener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String(), nil
		}
	}
	return "", err
}

// newGateway fills in the project's settings template and starts the process as the deploy file says.
func newGateway(d *deployment, name string) (*gateway, error) {
	var addresses [4]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	template, err := os.ReadFile("deploy/settings.json.tmpl")
	if err != nil {
		return nil, err
	}
	quote := func(text string) string {
		encoded, _ := json.Marshal(text) // a string is always encoded
		return string(encoded)
	}
	port := func(address string) string { return address[strings.LastIndex(address, ":")+1:] }
	settings := strings.NewReplacer(
		"{{node-name|json}}", quote(name), "{{zone|json}}", quote("zone-1"), "{{region|json}}", quote("region-1"),
		"{{listen-addrs.front|json}}", quote(addresses[0]), "{{listen-addrs.ready|json}}", quote(addresses[1]),
		"{{ip}}", "127.0.0.1", "{{port-range.0}}", port(addresses[2]), "{{port-range.1}}", port(addresses[3]),
		"{{limits.link-mbps|json}}", "700.0", "{{limits.memory-mb|json}}", strconv.Itoa(d.memoryMB),
		"{{platform.address|json}}", quote(d.store.address), "{{bounds.retry-budget-ratio|json}}", "0.2",
		"{{bounds.budget-slack|json}}", "104", "{{bounds.grace-s|json}}", "6",
	).Replace(string(template))
	g := &gateway{
		deployment: d, name: name, settings: filepath.Join(d.folder, name+".json"), front: addresses[0], ready: addresses[1],
		ended: make(chan struct{}),
	}
	if err := os.WriteFile(g.settings, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	go g.run()
	return g, nil
}

// restartDelay is the pause before the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

func (g *gateway) run() {
	defer close(g.ended)
	// The process must end with this one, which Linux ties to the thread that started it.
	runtime.LockOSThread()
	for !g.isStopped() {
		log, err := os.OpenFile(filepath.Join(g.deployment.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			g.deployment.record.add("%s: no log: %v", g.name, err)
			return
		}
		command := exec.Command("target/knapweedrouter", "gateway")
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KNAPWEEDROUTER_CONFIG=" + g.settings}
		command.Stdout, command.Stderr = log, log
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := command.Start(); err != nil {
			g.deployment.record.add("%s: not started: %v", g.name, err)
			return
		}
		g.setProcess(command.Process)
		g.deployment.record.add("%s: process %d started", g.name, command.Process.Pid)
		ended := make(chan struct{})
		go g.guardMemory(command.Process.Pid, ended)
		err = command.Wait()
		close(ended)
		_ = log.Close() // what was written is in the file
		if !g.isStopped() {
			g.mu.Lock()
			g.ends++
			ends := g.ends
			g.mu.Unlock()
			g.deployment.record.add("%s: the process ended (%v), end %d", g.name, err, ends)
			time.Sleep(restartDelay)
		}
	}
}

// guardMemory does what the platform does: a process that exceeds its memory is killed.
func (g *gateway) guardMemory(pid int, ended <-chan struct{}) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		kb := residentKB(pid)
		g.mu.Lock()
		g.peakKB = max(g.peakKB, kb)
		g.mu.Unlock()
		if kb > g.deployment.memoryMB<<10 {
			g.deployment.record.add("%s: %d MB are in use, more than memory-mb %d: killed", g.name, kb>>10, g.deployment.memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// residentKB returns the resident memory of a process, 0 if it has ended.
func residentKB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content))
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 10
}

// setProcess records the running process, and ends it at once if the machine was stopped meanwhile.
func (g *gateway) setProcess(process *os.Process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process = process
	if g.stopped {
		_ = process.Kill() // it may have ended
	}
}

func (g *gateway) isStopped() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopped
}

// stop ends the process for good.
func (g *gateway) stop() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.kill()
	<-g.ended
}

// kill ends the process, which the platform then starts again.
func (g *gateway) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		_ = g.process.Kill() // it may have ended
	}
}

// counts returns the number of ends and the most memory in MB.
func (g *gateway) counts() (ends, peakMB int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ends, g.peakKB >> 10
}

// startGateways starts a number of machines and waits until they are ready. The returned function stops them.
func startGateways(d *deployment, count int) ([]*gateway, func(), error) {
	var gateways []*gateway
	stop := func() {
		for _, g := range gateways {
			g.stop()
		}
	}
	for i := range count {
		g, err := newGateway(d, fmt.Sprintf("edge-%d", i+1))
		if err != nil {
			stop()
			return nil, nil, err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := awaitReady(g); err != nil {
			stop()
			return nil, nil, err
		}
	}
	return gateways, stop, nil
}
