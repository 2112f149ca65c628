package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet holds the processes of the system under test.
type fleet struct {
	root, folder string
	hosts        []*host
	run          []string
}

// host is one machine with its gateway process.
type host struct {
	name     string
	front    string
	ready    string
	settings string
	command  *exec.Cmd
	ended    chan struct{}
}

// startFleet starts one gateway for each zone named, with the command and the template of the deploy file.
func startFleet(rec *record, storeAddress string, zones ...string) *fleet {
	root, err := filepath.Abs(os.Getenv("ROOT"))
	check(err)
	folder, err := os.MkdirTemp("", "review-")
	check(err)
	run, template := deployFile(root)
	f := &fleet{root: root, folder: folder, run: run}
	for i, zone := range zones {
		ports := freePorts(5)
		at := func(n int) string { return loopback + ":" + strconv.Itoa(ports[n]) }
		h := &host{name: fmt.Sprintf("edge-%s-%d", zone, i+1), front: at(0), ready: at(1)}
		h.settings = filepath.Join(folder, h.name+".json")
		// The figures are those of the site file vpc-search.
		content := render(template, map[string]any{
			"node-name": h.name, "zone": zone, "region": "kerala-south", "ip": loopback,
			"listen-addrs.front": at(0), "listen-addrs.ready": at(1), "port-range.0": ports[3], "port-range.1": ports[4],
			"limits.link-mbps": 700.0, "limits.memory-mb": 206, "platform.address": storeAddress,
			"bounds.retry-budget-ratio": 0.2, "bounds.budget-slack": 104, "bounds.grace-s": 6,
		})
		check(os.WriteFile(h.settings, []byte(content), 0o600))
		f.hosts = append(f.hosts, h)
		f.start(rec, h)
	}
	return f
}

func (f *fleet) start(rec *record, h *host) {
	logFile, err := os.OpenFile(filepath.Join(f.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	h.command = exec.Command(filepath.Join(f.root, f.run[0]), f.run[1:]...)
	h.command.Dir = f.root
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KNAPWEEDROUTER_CONFIG=" + h.settings}
	h.command.Stdout, h.command.Stderr = logFile, logFile
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(h.command.Start())
	rec.line("started %s front=%s pid=%d", h.name, h.front, h.command.Process.Pid)
	command, ended := h.command, make(chan struct{})
	h.ended = ended
	go func() {
		command.Wait()
		logFile.Close()
		close(ended)
	}()
}

// killAll kills all processes of the system at the same moment and starts them again after a while.
func (f *fleet) killAll(rec *record, down time.Duration) {
	for _, h := range f.hosts {
		h.command.Process.Kill()
	}
	for _, h := range f.hosts {
		<-h.ended
	}
	rec.say("all hosts are killed")
	time.Sleep(down)
	for _, h := range f.hosts {
		f.start(rec, h)
	}
}

// awaitReady waits until all hosts are ready.
func (f *fleet) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range f.hosts {
			if answer, err := http.Get("http://" + h.ready + "/api/ready"); err == nil {
				answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.hosts) {
			return true
		}
	}
	return false
}

// stop ends all processes of the system. It keeps their logs if KEEP names a folder.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.command.Process.Kill()
	}
	for _, h := range f.hosts {
		<-h.ended
	}
	if kept := os.Getenv("KEEP"); kept != "" {
		os.MkdirAll(kept, 0o700)
		for _, h := range f.hosts {
			if content, err := os.ReadFile(filepath.Join(f.folder, h.name+".log")); err == nil {
				os.WriteFile(filepath.Join(kept, h.name+".log"), content, 0o600)
			}
		}
	}
	os.RemoveAll(f.folder)
}

// deployFile returns the command and the settings template of the role that serves clients.
func deployFile(root string) (run []string, template string) {
	content, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	check(err)
	value := func(name string) string {
		found := regexp.MustCompile(`(?m)^` + name + ` = "(.*)"$`).FindSubmatch(content)
		if found == nil {
			fail("deploy/system.toml has no %s", name)
		}
		return string(found[1])
	}
	text, err := os.ReadFile(filepath.Join(root, value("template")))
	check(err)
	return strings.Fields(value("run")), string(text)
}

// render fills in the placeholders {{name}} and {{name|json}}.
func render(template string, values map[string]any) string {
	return regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`).ReplaceAllStringFunc(template, func(placeholder string) string {
		name, asJSON := strings.CutSuffix(strings.Trim(placeholder, "{}"), "|json")
		value, ok := values[name]
		if !ok {
			fail("no value for %s", placeholder)
		}
		if !asJSON {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		check(err)
		return string(encoded)
	})
}

// loopback is a loopback address of this process's own, so that cases that run side by side never meet.
var loopback = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/250%250, 1+os.Getpid()%250)

var ports struct {
	sync.Mutex
	next int
}

// freePorts returns free ports below those that the system hands out for outgoing connections.
func freePorts(count int) []int {
	ports.Lock()
	defer ports.Unlock()
	if ports.next == 0 {
		ports.next = 12000
	}
	var found []int
	for len(found) < count {
		ports.next++
		if ports.next > 32000 {
			ports.next = 12000
		}
		listener, err := net.Listen("tcp", loopback+":"+strconv.Itoa(ports.next))
		if err != nil {
			continue
		}
		listener.Close()
		found = append(found, ports.next)
	}
	return found
}
