package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// What the platform states to each process, as in DEPLOY.md.
const (
	healthPath    = "/health"
	retryRatio    = 0.2
	retryWindow   = 10 * time.Second
	budgetSlack   = 104
	graceSeconds  = 6
	stableWindow  = 4 * time.Second
	memoryMB      = 206
	maxFDs        = 2870
	configApplyMS = 3000
	drainMS       = 3000
	evacuateMS    = 5000
)

// gateway is a process of the project, started as deploy/system.toml says.
type gateway struct {
	name, front, ready string
	settingsPath       string
	logPath            string
	process            *exec.Cmd
	ended              chan struct{}
}

// freePort returns a port on which nothing listens. It lies below those that the system gives to outgoing connections.
func freePort() int {
	for {
		port := 12000 + rand.IntN(18000)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			l.Close()
			return port
		}
	}
}

// newGateway renders the settings of a machine from the project's template.
func newGateway(root, dir, name, zone, storeAddress string, linkMbps float64) *gateway {
	g := &gateway{
		name:         name,
		front:        fmt.Sprintf("127.0.0.1:%d", freePort()),
		ready:        fmt.Sprintf("127.0.0.1:%d", freePort()),
		settingsPath: filepath.Join(dir, name+".json"),
		logPath:      filepath.Join(dir, name+".log"),
	}
	fields := map[string]any{
		"node-name": name, "zone": zone, "region": "region-1", "ip": "127.0.0.1",
		"listen-addrs": map[string]any{"front": g.front, "ready": g.ready},
		"port-range":   []any{freePort(), freePort()},
		"limits":       map[string]any{"link-mbps": linkMbps, "memory-mb": memoryMB, "max-fds": maxFDs},
		"platform":     map[string]any{"address": storeAddress},
		"bounds":       map[string]any{"retry-budget-ratio": retryRatio, "budget-slack": budgetSlack, "grace-s": graceSeconds},
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.json.tmpl"))
	if err != nil {
		panic(err)
	}
	if err := os.WriteFile(g.settingsPath, []byte(render(string(template), fields)), 0o600); err != nil {
		panic(err)
	}
	return g
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9.-]+)(\|json)?\}\}`)

// render fills in the placeholders of a template that the project's template uses.
func render(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		parts := placeholder.FindStringSubmatch(text)
		var value any = fields
		for _, name := range strings.Split(parts[1], ".") {
			switch at := value.(type) {
			case map[string]any:
				value = at[name]
			case []any:
				value = at[parseInt(name)]
			}
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		return string(encoded)
	})
}

func parseInt(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}

// start starts the process with the command and the environment of the deploy file.
func (g *gateway) start(root string) {
	log, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	g.process = exec.Command(filepath.Join(root, "target", "knapweedrouter"), "gateway")
	g.process.Dir = root
	g.process.Stdout, g.process.Stderr = log, log
	g.process.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"KNAPWEEDROUTER_CONFIG=" + g.settingsPath,
		fmt.Sprintf("KNAPWEEDROUTER_MAX_FDS=%d", maxFDs),
		fmt.Sprintf("KNAPWEEDROUTER_CHANGE_MS=%d,%d,%d", configApplyMS, drainMS, evacuateMS),
	}
	if err := g.process.Start(); err != nil {
		panic(err)
	}
	process, ended := g.process, make(chan struct{})
	g.ended = ended
	go func() {
		_ = process.Wait()
		log.Close()
		close(ended)
	}()
}

func (g *gateway) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

func (g *gateway) signal(s syscall.Signal) {
	if g.process != nil && !g.hasEnded() {
		_ = g.process.Process.Signal(s)
	}
}

// kill ends the process at once.
func (g *gateway) kill() {
	if g.process == nil {
		return
	}
	g.signal(syscall.SIGKILL)
	<-g.ended
}

// awaitReady waits until the process counts as ready.
func (g *gateway) awaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + g.ready + "/api/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
