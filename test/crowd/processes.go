package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apricotwind/apricotwind/internal/testcluster"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/apricotwind/apricotwind/test/standins"
)

const (
	// startTimeout bounds how long a process may take until it answers.
	startTimeout = 20 * time.Second
	// askTimeout bounds one ordinary request.
	askTimeout = 30 * time.Second
	host       = "crowd.example"
)

// deployment is a process with what it needs around it.
type deployment struct {
	name     string
	settings []string // of the addresses that are tested
	start    func(o options) (*running, error)
}

var deployments = []deployment{
	{"platform-entry", []string{"front", "ready", "metrics", "link"}, startPlatformEntry},
	{"platform-agent", []string{"control", "metrics", "link"}, startPlatformAgent},
	{"entry", []string{"caller", "operator", "link"}, startEntry},
	{"agent", []string{"gate", "ops"}, startAgent},
}

// running is the process under test.
type running struct {
	command *exec.Cmd
	ended   chan struct{}
	targets []target
	stop    []func()
}

// ports counts the ports that address has assigned.
var ports atomic.Int64

// address returns a loopback address of this run, below the range of ephemeral ports.
func address() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>16&0x3f, pid>>8&0xff, 1+pid%254, 20000+ports.Add(1)%10000)
}

// launch starts a program; its output goes to a file in the folder of temporary files.
func launch(o options, arguments ...string) (*exec.Cmd, chan struct{}, error) {
	log, err := os.Create(filepath.Join(os.TempDir(), fmt.Sprintf("crowd-%d.log", os.Getpid())))
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	command := exec.Command(o.binary, arguments...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, nil, err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait() // the status of a killed process says nothing
		close(ended)
	}()
	return command, ended, nil
}

// launchBounded starts the process under test with its limits, and waits until its targets answer.
func launchBounded(o options, targets []target, stop func(), arguments ...string) (*running, error) {
	memory := "--memory"
	if arguments[0] == "agent" {
		memory = "--process-memory" // its memory is that for batch tasks
	}
	arguments = append(arguments, memory, strconv.Itoa(o.memory), "--descriptors", strconv.Itoa(o.descriptors))
	command, ended, err := launch(o, arguments...)
	if err != nil {
		return nil, err
	}
	p := &running{command: command, ended: ended, targets: targets, stop: []func(){stop}}
	began := time.Now()
	for _, t := range targets {
		for answer := ""; answer != "200" && answer != "answered"; answer = t.ask(0) {
			if time.Since(began) > startTimeout || !p.alive() {
				p.close()
				return nil, fmt.Errorf("%s does not answer after the start: %s", t.setting, answer)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return p, nil
}

// serveStore serves a stand-in store that holds a configuration, and returns its address.
func serveStore() (string, func(), error) {
	store := testcluster.NewStore()
	value, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "q", "host": host, "path_prefix": "/q/", "service": "s", "timeout_ms": 3000, "max_attempts": 2,
			"stretch": 2, "target_latency_ms": 1000,
		}},
		"limits": map[string]any{
			"max_header_bytes": maxHeadBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	if err != nil {
		return "", nil, err
	}
	put := table.Put{RowKey: table.RowKey{Table: "op", Key: "config"}, Value: value}
	if result, err := store.View("operator").Apply(context.Background(), table.Txn{Puts: []table.Put{put}}); result.Outcome != table.Committed {
		return "", nil, fmt.Errorf("the configuration is not written: %w", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: standins.StoreHandler(store.View("process"))}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}

func startPlatformEntry(o options) (*running, error) {
	store, stop, err := serveStore()
	if err != nil {
		return nil, err
	}
	front, ready, link, metrics := address(), address(), address(), address()
	job := func(int) []byte {
		return []byte(`{"spec":"a","steps":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":1000}]}`)
	}
	targets := []target{
		{setting: "front", address: front, method: "POST", path: "/q/{}", host: host, body: job},
		{setting: "ready", address: ready, method: "GET", path: "/api/ready", host: host},
		{setting: "metrics", address: metrics, method: "GET", path: "/debug/vars", host: host},
		{setting: "link", address: link, links: true, method: "GET", path: "/", host: host},
	}
	return launchBounded(o, targets, stop, "platform", "entry", "--name", "e", "--domain", "d", "--store", store,
		"--front", front, "--ready", ready, "--link", link, "--metrics", metrics)
}

func startPlatformAgent(o options) (*running, error) {
	store, stop, err := serveStore()
	if err != nil {
		return nil, err
	}
	control, link, metrics := address(), address(), address()
	registration := func(i int) []byte {
		return []byte(fmt.Sprintf(`{"service":"s","zone":"z","state":"ready","seq":%d,"born":1,"capacity":{"cpu":8000,"mem_mb":16000}}`, i+1))
	}
	targets := []target{
		{setting: "control", address: control, method: "PUT", path: "/api/instances/{}", host: host, body: registration},
		{setting: "metrics", address: metrics, method: "GET", path: "/debug/vars", host: host},
		{setting: "link", address: link, links: true, method: "GET", path: "/", host: host},
	}
	return launchBounded(o, targets, stop, "platform", "agent", "--name", "a", "--store", store,
		"--control", control, "--worker", address(), "--link", link, "--metrics", metrics)
}

func startEntry(o options) (*running, error) {
	platform := address()
	command, ended, err := launch(o, "standin", "platform", "--listen", platform)
	if err != nil {
		return nil, err
	}
	stop := func() { _ = command.Process.Kill(); <-ended }
	callers, operators, link := address(), address(), address()
	targets := []target{
		// Without a contract, an entry answers a caller with 503.
		{setting: "caller", address: callers, method: "POST", path: "/", host: host, body: func(int) []byte { return []byte("a") }, status: http.StatusServiceUnavailable},
		{setting: "operator", address: operators, method: "PUT", path: "/target", host: host},
		{setting: "link", address: link, links: true, method: "GET", path: "/", host: host},
	}
	return launchBounded(o, targets, stop, "entry", "--name", "e", "--domain", "d", "--platform", "http://"+platform,
		"--caller", callers, "--operator", operators, "--link", link)
}

func startAgent(o options) (*running, error) {
	platform := address()
	command, ended, err := launch(o, "standin", "platform", "--listen", platform)
	if err != nil {
		return nil, err
	}
	stop := func() { _ = command.Process.Kill(); <-ended }
	gate, ops := address(), address()
	targets := []target{
		// A gate answers a request without an attempt with 400.
		{setting: "gate", address: gate, method: "POST", path: "/", host: host, body: func(int) []byte { return []byte("a") }, status: http.StatusBadRequest},
		{setting: "ops", address: ops, method: "GET", path: "/healthz", host: host},
	}
	return launchBounded(o, targets, stop, "agent", "--name", "a", "--domain", "d", "--rack", "r", "--platform", "http://"+platform,
		"--upstream", "http://"+address(), "--gate", gate, "--ops", ops)
}

// target returns the target of a setting.
func (p *running) target(setting string) target {
	for _, t := range p.targets {
		if t.setting == setting {
			return t
		}
	}
	return target{}
}

func (p *running) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// close kills the process and stops what is around it.
func (p *running) close() {
	_ = p.command.Process.Kill() // it may have ended
	<-p.ended
	for _, stop := range p.stop {
		stop()
	}
}

// peakMB returns the most memory that the process has had resident, rounded up to MB.
func (p *running) peakMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, _ := strconv.Atoi(fields[1]) // the kernel writes a number
			return (kilobytes + 1023) / 1024
		}
	}
	return 0
}

// descriptors returns the number of descriptors that the process has open.
func (p *running) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// ask sends an ordinary request on a connection of its own. It returns the status of the answer, and
// "answered" for an answer of an address whose ordinary answer is not 200.
func (t target) ask(i int) string {
	if t.links {
		return t.call()
	}
	var body io.Reader
	if t.body != nil {
		body = bytes.NewReader(t.body(i))
	}
	path := strings.ReplaceAll(t.path, "{}", fmt.Sprintf("%016x", 1<<32+i))
	method := t.method
	if t.setting == "operator" {
		method = http.MethodGet
	}
	request, err := http.NewRequest(method, "http://"+t.address+path, body)
	if err != nil {
		return err.Error()
	}
	request.Host = t.host
	client := &http.Client{Timeout: askTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == t.status {
		return "answered"
	}
	return strconv.Itoa(response.StatusCode)
}

// call makes a call of an unknown method on a new link, which is answered with an error.
func (t target) call() string {
	conn, err := net.DialTimeout("tcp", t.address, askTimeout)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(askTimeout))
	if _, err := conn.Write([]byte(`{"jsonrpc":"2.0","id":7,"method":"unknown","params":{}}`)); err != nil {
		return err.Error()
	}
	var reply struct {
		ID int `json:"id"`
	}
	if err := json.NewDecoder(conn).Decode(&reply); err != nil {
		return err.Error()
	}
	if reply.ID != 7 {
		return fmt.Sprintf("reply to call %d", reply.ID)
	}
	return "answered"
}
