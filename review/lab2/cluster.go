//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/apricotwind/apricotwind/internal/testcluster"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/apricotwind/apricotwind/test/standins"
)

const (
	// restartDelay is the time after which the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
	// queueHost and queuePrefix select the queue of the cases.
	queueHost   = "queue.example"
	queuePrefix = "/q/"
)

// machine is one machine of the system with its process.
type machine struct {
	cluster *cluster
	name    string
	role    string // entry or agent
	ip      string
	zone    string
	memory  int // MB
	worker  *worker
	store   string // address of the store as this machine reaches it

	mu      sync.Mutex
	command *exec.Cmd
	down    bool // not to be started again
	starts  int
	log     *os.File
}

// cluster is the system with its stand-ins.
type cluster struct {
	record   *record
	seen     *sightings
	store    *testcluster.Store
	machines []*machine
	entries  []*machine
	agents   []*machine
	workers  []*worker
	root     string // of the repository
	scratch  string
	ctx      context.Context
	stop     context.CancelFunc
	wait     sync.WaitGroup

	mu   sync.Mutex
	jobs map[string]job // that were handed in, by ID
}

// options describe a cluster.
type options struct {
	entries, workers int
	attempts         int // max_attempts of the queue
	cpu, memory      int // capacity of each worker
	stop             time.Duration
	entryMemory      int      // MB
	agentMemory      int      // MB
	kinds            []string // of the workers; "a" where none is given
	decide           func(w *worker, task, spec string) fate
}

func (c *cluster) nextIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&0x3f, pid&0xff, 1+len(c.machines))
}

func newCluster(r *record, o options) (*cluster, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	scratch, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	c := &cluster{record: r, seen: newSightings(r), store: testcluster.NewStore(), root: root, scratch: scratch, ctx: ctx, stop: stop, jobs: map[string]job{}}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range o.entries {
		m := &machine{name: fmt.Sprintf("front-%d", i+1), role: "entry", zone: zones[i%3], memory: o.entryMemory}
		if err := c.add(m); err != nil {
			return nil, err
		}
		c.entries = append(c.entries, m)
	}
	for i := range o.workers {
		m := &machine{name: fmt.Sprintf("side-%d", i+1), role: "agent", zone: zones[i%3], memory: o.agentMemory}
		if err := c.add(m); err != nil {
			return nil, err
		}
		c.agents = append(c.agents, m)
		kind := "a"
		if i < len(o.kinds) {
			kind = o.kinds[i]
		}
		m.worker = &worker{
			record: r, machine: m.name, ip: m.ip, zone: m.zone, kind: kind, rack: fmt.Sprintf("r%d", i/3+1), control: m.ip + ":8166", service: "svc",
			cpu: o.cpu, memory: o.memory, decide: o.decide, stop: o.stop, seen: c.seen,
		}
		c.workers = append(c.workers, m.worker)
	}
	return c, c.configure(o)
}

// add gives a machine its address and its way to the store.
func (c *cluster) add(m *machine) error {
	m.cluster, m.ip = c, c.nextIP()
	listener, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: standins.StoreHandler(c.store.View(m.name))}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(c.ctx, func() { _ = server.Close() })
	m.store = listener.Addr().String()
	c.machines = append(c.machines, m)
	m.log, err = os.Create(filepath.Join(c.scratch, m.name+".log"))
	return err
}

// configure writes the operator's configuration.
func (c *cluster) configure(o options) error {
	value, err := json.Marshal(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "q", "host": queueHost, "path_prefix": queuePrefix, "kind": "non_idempotent", "service": "svc", "timeout_ms": 3000,
			"target_latency_ms": 1000, "priority": 0, "max_attempts": o.attempts, "stretch": 2.0,
		}},
		"services": []any{map[string]any{"name": "svc", "health_path": "/health", "max_conns": 64, "admission_check": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	put := table.Put{RowKey: table.RowKey{Table: "op", Key: "config"}, Value: value}
	_, err = c.store.View("operator").Apply(c.ctx, table.Txn{Puts: []table.Put{put}})
	return err
}

// render fills in the template of a role's settings, as the platform does.
func (m *machine) render() (string, error) {
	text, err := os.ReadFile(filepath.Join(m.cluster.root, "deploy", m.role+".yaml"))
	if err != nil {
		return "", err
	}
	app := ""
	if m.worker != nil {
		app = m.worker.address()
	}
	filled := strings.NewReplacer(
		"{{node}}", m.name, "{{zone}}", m.zone, "{{ip}}", m.ip, "{{listen.front}}", m.ip+":8161", "{{listen.ready}}", m.ip+":8167",
		"{{listen.control}}", m.ip+":8166", "{{ephemeral_ports.0}}", "7720", "{{app}}", app, "{{platform.address}}", m.store,
		"{{bounds.status_s}}", "120", "{{limits.cpu_share}}", "0.4", "{{limits.memory_mb}}", fmt.Sprint(m.memory), "{{limits.max_fds}}", "4100",
	).Replace(string(text))
	path := filepath.Join(m.cluster.scratch, m.name+".yaml")
	return path, os.WriteFile(path, []byte(filled), 0o644)
}

// start starts the process of a machine. When it ends, the platform starts it again, unless the
// machine is down.
func (m *machine) start() error {
	settings, err := m.render()
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	command := exec.Command(filepath.Join(m.cluster.root, "target", "apricotwind"), "platform", m.role)
	command.Dir = m.cluster.root
	command.Env = append(os.Environ(), "APRICOTWIND_SETTINGS="+settings)
	command.Stdout, command.Stderr = m.log, m.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	m.command = command
	m.starts++
	m.cluster.wait.Go(func() {
		state := command.Wait()
		m.mu.Lock()
		m.command = nil
		down := m.down
		m.mu.Unlock()
		if m.cluster.ctx.Err() != nil {
			return
		}
		m.cluster.record.note("process of %s ended: %v", m.name, state)
		time.Sleep(restartDelay)
		if down || m.cluster.ctx.Err() != nil {
			return
		}
		if err := m.start(); err != nil {
			m.cluster.record.note("process of %s does not start: %v", m.name, err)
		}
	})
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s)
	}
}

// kill ends the process at once; the platform starts it again.
func (m *machine) kill() {
	m.cluster.record.note("SIGKILL to %s", m.name)
	m.signal(syscall.SIGKILL)
}

// resident returns the memory of the process in MB, without that of files; 0 if there is no process.
func (m *machine) resident() int {
	m.mu.Lock()
	command := m.command
	m.mu.Unlock()
	if command == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		var kilobytes int
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kilobytes); n == 1 {
			return kilobytes >> 10
		}
	}
	return 0
}

// begin starts all machines and waits until the entries are ready.
func (c *cluster) begin() error {
	for _, m := range c.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, w := range c.workers {
		if err := w.begin(); err != nil {
			return err
		}
	}
	for _, m := range c.entries {
		if !c.awaitReady(m, 15*time.Second) {
			return fmt.Errorf("%s is not ready", m.name)
		}
	}
	time.Sleep(3 * time.Second) // the workers register, and the owner lists them
	return nil
}

func (c *cluster) awaitReady(m *machine, most time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for began := time.Now(); time.Since(began) < most; time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + m.ip + ":8167/api/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// owner returns the machine that owns the shard by the owner's row, or nil.
func (c *cluster) owner() *machine {
	rows, _, err := c.store.View("case").Read(c.ctx, table.Range{Table: "owner", Partition: "0"})
	if err != nil || len(rows) == 0 {
		return nil
	}
	var holder struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(rows[0].Value, &holder) != nil {
		return nil
	}
	for _, m := range c.machines {
		if m.name == holder.Name {
			return m
		}
	}
	return nil
}

// end ends all processes and removes what they wrote.
func (c *cluster) end() {
	c.stop()
	for _, m := range c.machines {
		m.mu.Lock()
		m.down = true
		m.mu.Unlock()
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
	}
	for _, w := range c.workers {
		w.crash()
	}
	c.wait.Wait()
	for _, m := range c.machines {
		_ = m.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.scratch)
	} else {
		c.record.note("logs in %s", c.scratch)
	}
}

// ask sends one request of a client and returns the status and the body; the status is 0 without a
// complete answer.
func (c *cluster) ask(m *machine, method, id string, body []byte, deadline time.Duration) (int, string) {
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+m.ip+":8161"+queuePrefix+id, strings.NewReader(string(body)))
	if err != nil {
		return 0, ""
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text := make([]byte, 4096)
	n, _ := response.Body.Read(text)
	return response.StatusCode, string(text[:n])
}

// submit hands a job in at one entry after the other until it is accepted.
func (c *cluster) submit(j job, most time.Duration) bool {
	c.mu.Lock()
	c.jobs[j.id] = j
	c.mu.Unlock()
	for began, i := time.Now(), 0; time.Since(began) < most; i++ {
		m := c.entries[i%len(c.entries)]
		status, text := c.ask(m, http.MethodPost, j.id, j.body(), 3*time.Second)
		c.record.note("POST %s at %s: %d %s", j.id, m.name, status, text)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job at one entry after the other; "" if none tells.
func (c *cluster) state(id string) string {
	for _, m := range c.entries {
		status, text := c.ask(m, http.MethodGet, id, nil, 3*time.Second)
		if status == http.StatusOK {
			var state struct {
				State string `json:"state"`
			}
			if json.Unmarshal([]byte(text), &state) == nil {
				return state.State
			}
		}
		if status == http.StatusGone {
			return "gone"
		}
	}
	return ""
}
