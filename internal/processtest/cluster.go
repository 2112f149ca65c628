// Package processtest runs the real binary as separate processes on the loopback interface, so that tests can kill,
// suspend and stop hosts. The tests verify the outcome with the records of the stand-ins.
package processtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/callerapi"
	"github.com/knapweedrouter/knapweedrouter/internal/deployment"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/hostlist"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/settings"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/platform"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/target"
)

const (
	token         = "trial"
	operatorToken = "operator-of-the-tests"
	readyTimeout  = 20 * time.Second
	pollInterval  = 50 * time.Millisecond
	clientTimeout = 10 * time.Second
)

// Cluster is a running deployment: the processes of the platform stand-in, the target stand-ins and the hosts.
type Cluster struct {
	Catalogue model.Catalogue
	Hosts     []*Host

	t        testing.TB
	binary   string
	dir      string
	platform string
	client   *http.Client
}

// Host is one entry host, which runs as a process of its own.
type Host struct {
	Settings settings.Settings

	cluster *Cluster
	command *exec.Cmd
	done    chan struct{}
	log     *bytes.Buffer
}

// Small returns a deployment with a few targets in three data centres.
func Small(hosts int) deployment.Deployment {
	server := deployment.Server{Slots: 4, Connections: 60, ConnectMS: 1}
	return deployment.Deployment{
		Name:  "small",
		Hosts: hosts,
		DataCentres: []model.DataCentreInfo{
			{ID: "dc-1", Region: "region"}, {ID: "dc-2", Region: "region"}, {ID: "dc-3", Region: "region"},
		},
		Indexes:  []deployment.Index{{ID: "parts", Groups: 3, ServersPerGroup: 3, Server: server}},
		Searches: []model.Search{{ID: "parts", Indexes: []model.IndexID{"parts"}}},
		Services: []deployment.Service{{ID: "payouts", Servers: 3, Server: server}},
	}
}

var binary struct {
	once sync.Once
	path string
	err  error
}

// build compiles the binary once for all tests of the package.
func build() (string, error) {
	binary.once.Do(func() {
		dir, err := os.MkdirTemp("", "knapweedrouter")
		if err != nil {
			binary.err = err
			return
		}
		binary.path = filepath.Join(dir, "knapweedrouter")
		command := exec.Command("go", "build", "-o", binary.path, "github.com/knapweedrouter/knapweedrouter/cmd/knapweedrouter")
		if output, err := command.CombinedOutput(); err != nil {
			binary.err = fmt.Errorf("build: %w: %s", err, output)
		}
	})
	return binary.path, binary.err
}

// Start starts the stand-ins and the hosts of a deployment and waits until every host answers with full coverage. The
// processes are killed at the end of the test.
func Start(t testing.TB, d deployment.Deployment) *Cluster {
	t.Helper()
	return start(t, d, func(*Host) {})
}

// start is Start with a function that may change the settings of each host.
func start(t testing.TB, d deployment.Deployment, configure func(*Host)) *Cluster {
	t.Helper()
	path, err := build()
	require.NoError(t, err)
	c := &Cluster{
		t:        t,
		binary:   path,
		dir:      t.TempDir(),
		platform: freeAddress(t),
		client:   &http.Client{Timeout: clientTimeout},
	}
	c.startStandIns(d)
	c.write("fleet.key", "0123456789abcdef0123456789abcdef")
	c.write("operator.token", operatorToken)
	var records []hostlist.Record
	for i := range d.Hosts {
		h := c.newHost(i, d.DataCentres[i%len(d.DataCentres)])
		configure(h)
		c.Hosts = append(c.Hosts, h)
		records = append(records, hostlist.Record{
			ID: h.Settings.HostID, Address: h.Settings.PeerListen,
			DataCentre: h.Settings.DataCentre, State: hostlist.Live,
		})
	}
	c.putJSON(c.platform, "/standin/hosts", records)
	for _, h := range c.Hosts {
		h.Start()
	}
	for _, h := range c.Hosts {
		h.AwaitFullCoverage()
	}
	return c
}

func (c *Cluster) startStandIns(d deployment.Deployment) {
	content, err := json.Marshal(d)
	require.NoError(c.t, err)
	file := c.write("deployment.json", string(content))
	targets := len(d.Catalogue("127.0.0.1", 1).Targets)
	first := freePorts(c.t, targets)
	c.Catalogue = d.Catalogue("127.0.0.1", first)
	for _, part := range []string{"--store", "--targets"} {
		command := exec.Command(c.binary, "standin", part, "--deployment", file, "--platform", c.platform,
			"--first-port", fmt.Sprint(first), "--trial-token", token)
		require.NoError(c.t, command.Start())
		c.t.Cleanup(func() {
			_ = command.Process.Kill() // it may have ended already
			_ = command.Wait()
		})
	}
	c.await("the stand-ins", func() bool {
		last := c.Catalogue.Targets[len(c.Catalogue.Targets)-1].Address
		return c.get(c.platform, "/v1/hosts", nil) == nil && c.get(last, "/v1/status", nil) == nil
	})
}

func (c *Cluster) newHost(i int, centre model.DataCentreInfo) *Host {
	return &Host{cluster: c, Settings: settings.Settings{
		HostID:             model.HostID(fmt.Sprintf("host-%d", i)),
		DataCentre:         centre.ID,
		Region:             centre.Region,
		CallerListen:       freeAddress(c.t),
		OperatorListen:     freeAddress(c.t),
		PeerListen:         freeAddress(c.t),
		StoreAddresses:     []string{c.platform},
		HostListAddress:    c.platform,
		FleetKeyFiles:      []string{filepath.Join(c.dir, "fleet.key")},
		OperatorTokenFiles: []string{filepath.Join(c.dir, "operator.token")},
	}}
}

// SetStoreFaults replaces the failures that the store stand-in simulates.
func (c *Cluster) SetStoreFaults(faults platform.Faults) {
	c.putJSON(c.platform, "/standin/faults", faults)
}

// Records returns the attempts that a target has recorded.
func (c *Cluster) Records(id model.TargetID) []target.Record {
	var records []target.Record
	require.NoError(c.t, c.get(c.target(id).Address, "/standin/records", &records))
	return records
}

// SetTargetState sets the state of a target.
func (c *Cluster) SetTargetState(id model.TargetID, state model.TargetState) {
	c.putJSON(c.target(id).Address, "/standin/state", map[string]model.TargetState{"state": state})
}

// SetPoison makes a target crash on every request that contains the text.
func (c *Cluster) SetPoison(id model.TargetID, text string) {
	c.putJSON(c.target(id).Address, "/standin/poison", map[string]string{"text": text})
}

func (c *Cluster) target(id model.TargetID) model.Target {
	for _, t := range c.Catalogue.Targets {
		if t.ID == id {
			return t
		}
	}
	require.FailNow(c.t, "no such target", string(id))
	return model.Target{}
}

// Start starts the process of the host.
func (h *Host) Start() {
	c := h.cluster
	content, err := json.Marshal(h.Settings)
	require.NoError(c.t, err)
	file := c.write(string(h.Settings.HostID)+".json", string(content))
	h.log = &bytes.Buffer{}
	h.command = exec.Command(c.binary, "serve", "--config", file)
	h.command.Stderr = h.log
	require.NoError(c.t, h.command.Start())
	done := make(chan struct{})
	h.done = done
	command := h.command
	go func() {
		_ = command.Wait() // AwaitExit reads the exit code from the process state
		close(done)
	}()
	c.t.Cleanup(func() {
		_ = command.Process.Kill() // it may have ended already
		<-done
		if c.t.Failed() {
			c.t.Logf("log of %s:\n%s", h.Settings.HostID, h.log.String())
		}
	})
}

// Kill kills the process and waits for its end.
func (h *Host) Kill() {
	require.NoError(h.cluster.t, h.command.Process.Kill())
	<-h.done
}

// Suspend stops the process with SIGSTOP until Resume is called.
func (h *Host) Suspend() { require.NoError(h.cluster.t, h.command.Process.Signal(syscall.SIGSTOP)) }

// Resume continues a suspended process.
func (h *Host) Resume() { require.NoError(h.cluster.t, h.command.Process.Signal(syscall.SIGCONT)) }

// Terminate starts a planned stop of the process with SIGTERM.
func (h *Host) Terminate() { require.NoError(h.cluster.t, h.command.Process.Signal(syscall.SIGTERM)) }

// AwaitExit waits until the process has ended and returns its exit code.
func (h *Host) AwaitExit() int {
	<-h.done
	return h.command.ProcessState.ExitCode()
}

// AwaitFullCoverage waits until the host answers a search with full coverage.
func (h *Host) AwaitFullCoverage() {
	h.cluster.await(string(h.Settings.HostID)+" to answer", func() bool {
		reply, err := h.Search("hub")
		return err == nil && reply.Coverage.Total > 0 && reply.Coverage.Answered == reply.Coverage.Total
	})
}

// Search sends a search. The error is the host's refusal, or one with an unknown outcome if the connection broke.
func (h *Host) Search(text string) (callerapi.SearchReply, *fault.Error) {
	query, err := json.Marshal(map[string]string{"text": "hub", "id": text})
	require.NoError(h.cluster.t, err)
	var reply callerapi.SearchReply
	refusal := h.post("/v1/search", callerapi.SearchRequest{
		Search: "parts", Query: query, Limit: 10, DeadlineMS: 1000, Mode: "full",
	}, &reply)
	return reply, refusal
}

// Ticket returns a ticket for an operation.
func (h *Host) Ticket() (string, *fault.Error) {
	var reply struct {
		Ticket string `json:"ticket"`
	}
	refusal := h.post("/v1/tickets", map[string]string{"service": "payouts"}, &reply)
	return reply.Ticket, refusal
}

// Execute executes an operation under the ticket. The targets record the ID as part of the payload.
func (h *Host) Execute(ticket, id string) *fault.Error {
	return h.post("/v1/execute", map[string]any{
		"ticket": ticket, "operation": "record", "payload": map[string]string{"id": id}, "deadline_ms": 1000,
	}, nil)
}

// Ready reports whether the host tells the load balancer that it is ready.
func (h *Host) Ready() bool { return h.cluster.get(h.Settings.CallerListen, "/readyz", nil) == nil }

func (h *Host) post(path string, body, reply any) *fault.Error {
	encoded, err := json.Marshal(body)
	require.NoError(h.cluster.t, err)
	request, err := http.NewRequest(http.MethodPost, "http://"+h.Settings.CallerListen+path, bytes.NewReader(encoded))
	require.NoError(h.cluster.t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := h.cluster.client.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, fault.OutcomeUnknown, "ask another host", "connection cut")
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, fault.OutcomeUnknown, "ask another host", "answer cut")
	}
	if response.StatusCode == http.StatusOK {
		if reply != nil {
			require.NoError(h.cluster.t, json.Unmarshal(received, reply))
		}
		return nil
	}
	var refusal callerapi.ErrorReply
	require.NoError(h.cluster.t, json.Unmarshal(received, &refusal), string(received))
	return refusal.Error
}

// RunOperatorCommand runs an operator command of the binary against the host and returns its output and exit code.
func (h *Host) RunOperatorCommand(args ...string) (string, int) {
	args = append(args, "--host", h.Settings.OperatorListen,
		"--token-file", filepath.Join(h.cluster.dir, "operator.token"))
	command := exec.Command(h.cluster.binary, args...)
	output, err := command.CombinedOutput()
	if command.ProcessState == nil {
		require.NoError(h.cluster.t, err)
	}
	return strings.TrimSpace(string(output)), command.ProcessState.ExitCode()
}

// await polls until ok returns true and fails the test after readyTimeout.
func (c *Cluster) await(what string, ok func() bool) {
	c.t.Helper()
	limit := time.Now().Add(readyTimeout)
	for !ok() {
		if time.Now().After(limit) {
			require.FailNow(c.t, "timed out waiting for "+what)
		}
		time.Sleep(pollInterval)
	}
}

func (c *Cluster) write(name, content string) string {
	path := filepath.Join(c.dir, name)
	require.NoError(c.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func (c *Cluster) get(address, path string, reply any) error {
	response, err := c.client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s answered %s", address, path, response.Status)
	}
	if reply == nil {
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	return json.NewDecoder(response.Body).Decode(reply)
}

func (c *Cluster) putJSON(address, path string, value any) {
	encoded, err := json.Marshal(value)
	require.NoError(c.t, err)
	request, err := http.NewRequest(http.MethodPut, "http://"+address+path, bytes.NewReader(encoded))
	require.NoError(c.t, err)
	response, err := c.client.Do(request)
	require.NoError(c.t, err)
	defer response.Body.Close()
	require.Equal(c.t, http.StatusOK, response.StatusCode)
}

// lastPort is the port that freeAddress returned last. The ports lie below the ephemeral range, so that no outgoing
// connection takes them, and none is returned twice.
var lastPort atomic.Int32

// freeAddress returns a loopback address whose port is free.
func freeAddress(t testing.TB) string {
	lastPort.CompareAndSwap(0, int32(10000+os.Getpid()%500*20))
	for range 1000 {
		port := int(lastPort.Add(1))
		if arePortsFree(port, 1) {
			return fmt.Sprintf("127.0.0.1:%d", port)
		}
	}
	require.FailNow(t, "no free ports")
	return ""
}

// freePorts returns the first of count consecutive free ports.
func freePorts(t testing.TB, count int) int {
	for first := 21000 + os.Getpid()%4000; first < 32000; first += count {
		if arePortsFree(first, count) {
			return first
		}
	}
	require.FailNow(t, "no free ports")
	return 0
}

func arePortsFree(first, count int) bool {
	for port := first; port < first+count; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}
