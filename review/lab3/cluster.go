//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of all machines. Each machine has a loopback address of its own.
const (
	portFront   = 21161
	portReady   = 21167
	portControl = 21166
	portLink    = 21100
	portMetrics = 9464
	portApp     = 21800
	portStore   = 21900
)

// warmUp is the time that the platform leaves the machines before traffic comes.
const warmUp = 10 * time.Second

// proc is one process of the system.
type proc struct {
	name     string
	role     string
	ip       string
	settings string
	log      string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	meant   bool // its end was ordered
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	rec     *recorder
	dir     string
	base    string // first three bytes of all addresses
	store   *store
	world   *world
	fronts  []*proc
	sides   []*proc
	workers []*worker // beside sides, in their order
	stop    chan struct{}
	front   *http.Server
	version int
}

var zones = []string{"landsberg", "augsburg", "weilheim"}

// newCluster makes a deployment of the given numbers of machines. Nothing is started yet.
func newCluster(rec *recorder, fronts, sides int, kinds func(i int) (kind string, cpu, mem int)) (*cluster, error) {
	dir, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	rows := newStore()
	c := &cluster{rec: rec, dir: dir, store: rows, world: newWorld(rec, rows), stop: make(chan struct{})}
	if c.base, err = freeBase(); err != nil {
		return nil, err
	}
	for i := range fronts {
		p, err := c.newProc("front", i, 10+i, "entry", "")
		if err != nil {
			return nil, err
		}
		c.fronts = append(c.fronts, p)
	}
	for i := range sides {
		app := c.address(130+i, portApp)
		p, err := c.newProc("side", i, 30+i, "agent", app)
		if err != nil {
			return nil, err
		}
		c.sides = append(c.sides, p)
		kind, cpu, mem := kinds(i)
		c.workers = append(c.workers, newWorker(c.world, fmt.Sprintf("w%d", i), app, c.address(30+i, portControl), zones[i%len(zones)], kind, fmt.Sprintf("r%d", i/3), cpu, mem))
	}
	return c, nil
}

// freeBase returns the start of loopback addresses that nobody listens on.
func freeBase() (string, error) {
	for range 50 {
		base := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", base, portStore))
		if err == nil {
			return base, listener.Close()
		}
	}
	return "", errors.New("no free loopback addresses")
}

func (c *cluster) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", c.base, host, port)
}

// newProc writes the settings of a process from the template of its role.
func (c *cluster) newProc(class string, i, host int, role, app string) (*proc, error) {
	template, err := os.ReadFile("deploy/" + role + ".yaml")
	if err != nil {
		return nil, err
	}
	limits := map[string][3]string{"front": {"0.4", "284", "4100"}, "side": {"0.24", "152", "4096"}}[class]
	zone := zones[i%len(zones)]
	name := fmt.Sprintf("%s-%s-%d", class, zone, i/len(zones)+1)
	ip := fmt.Sprintf("%s.%d", c.base, host)
	text := string(template)
	for placeholder, value := range map[string]string{
		"node": name, "zone": zone, "ip": ip, "app": app,
		"listen.front": c.address(host, portFront), "listen.ready": c.address(host, portReady), "listen.control": c.address(host, portControl),
		"ephemeral_ports.0": fmt.Sprint(portLink), "platform.address": c.address(1, portStore), "bounds.status_s": "120",
		"limits.cpu_share": limits[0], "limits.memory_mb": limits[1], "limits.max_fds": limits[2],
	} {
		text = strings.ReplaceAll(text, "{{"+placeholder+"}}", value)
	}
	if strings.Contains(strings.SplitN(text, "\n", 2)[1], "{{") {
		return nil, fmt.Errorf("a placeholder of deploy/%s.yaml has no value", role)
	}
	p := &proc{name: name, role: role, ip: ip, settings: filepath.Join(c.dir, name+".yaml"), log: filepath.Join(c.dir, name+".log")}
	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

// start starts the whole deployment and waits until it has warmed up.
func (c *cluster) start() error {
	listener, err := net.Listen("tcp", c.address(1, portStore))
	if err != nil {
		return err
	}
	c.front = &http.Server{Handler: c.store.handler()}
	go func() { _ = c.front.Serve(listener) }() // its error says that it was closed
	go c.world.run(c.stop)
	if err := c.configure(); err != nil {
		return err
	}
	for _, p := range append(append([]*proc{}, c.fronts...), c.sides...) {
		if err := c.launch(p); err != nil {
			return err
		}
	}
	for _, w := range c.workers {
		if err := w.start(); err != nil {
			return err
		}
	}
	time.Sleep(warmUp)
	return nil
}

// Queue and host of the clients.
const (
	host   = "novo13.example"
	prefix = "/gono990/"
)

// configure writes the next version of the configuration.
func (c *cluster) configure() error {
	c.version += 3
	return c.store.put(rowKey{Table: "op", Key: "config"}, map[string]any{
		"version": c.version,
		"routes": []any{map[string]any{
			"name": "proofs", "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 300,
			"priority": 0, "service": "svc", "max_attempts": maxAttempts, "stretch": 1.5,
		}},
		"services": []any{map[string]any{"name": "svc", "admission_check": false, "health_path": "/health"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// launch starts a process with the command of the deploy file.
func (c *cluster) launch(p *proc) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/apricotwind", "platform", p.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "APRICOTWIND_SETTINGS=" + p.settings, "APRICOTWIND_LEASE=10000ms"}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.command, p.done, p.meant = command, done, false
	go func() {
		err := command.Wait()
		p.mu.Lock()
		if !p.meant {
			c.rec.broken("Fault", "%s ended by itself: %v", p.name, err)
		}
		p.command = nil
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// signal sends a signal to a process that was started here.
func (c *cluster) signal(p *proc, s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.meant = true
	}
	c.rec.note("%v to %s", s, p.name)
	_ = p.command.Process.Signal(s) // it may have ended just now
}

// kill kills a process and waits for its end.
func (c *cluster) kill(p *proc) {
	p.mu.Lock()
	done := p.done
	alive := p.command != nil
	p.mu.Unlock()
	if alive {
		c.signal(p, syscall.SIGKILL)
		<-done
	}
}

// owner returns the process that owns the shard, by the store's rows, or nil.
func (c *cluster) owner() *proc {
	value := string(c.store.value(rowKey{Table: "owner", Part: "0", Key: "0"}))
	for _, p := range append(append([]*proc{}, c.fronts...), c.sides...) {
		if strings.Contains(value, `"`+p.name+`"`) {
			return p
		}
	}
	return nil
}

// close ends all processes. Their logs go after the record if keep names a folder.
func (c *cluster) close(keep string) {
	var wg sync.WaitGroup
	for _, p := range append(append([]*proc{}, c.fronts...), c.sides...) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.kill(p)
		}()
	}
	wg.Wait()
	for _, w := range c.workers {
		close(w.stopBeats)
		w.end(gone)
	}
	close(c.stop)
	if c.front != nil {
		_ = c.front.Close() // nothing depends on a clean end
	}
	if keep != "" {
		for _, p := range append(append([]*proc{}, c.fronts...), c.sides...) {
			if content, err := os.ReadFile(p.log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, p.name+".log"), content, 0o600) // for a reader only
			}
		}
	}
	_ = os.RemoveAll(c.dir) // a temporary folder
}

// client is the stand-in of the clients. It reaches the fronts that answer their readiness check.
type client struct {
	c    *cluster
	http *http.Client
}

func newClient(c *cluster) *client {
	return &client{c: c, http: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// do sends a request to a front, and returns the status, 0 without an answer, and the body.
func (k *client) do(front int, method, path string, body []byte) (int, string) {
	p := k.c.fronts[front%len(k.c.fronts)]
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", p.ip, portFront, path), bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	response, err := k.http.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}
