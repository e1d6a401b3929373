package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Names of the one queue and its host.
const (
	queueHost   = "queue.example"
	queuePrefix = "/queue/"
)

// deployment is a small deployment of the system with its stand-ins.
type deployment struct {
	rec       *record
	dir       string // for settings files and logs
	store     *store
	storeAt   string
	zones     []string
	workers   []*worker
	entries   []*process
	agents    []*process
	servers   []*http.Server
	nextHost  int
	client    *http.Client
	processes []*process
}

// process is one process of the system.
type process struct {
	name     string
	command  *exec.Cmd
	front    string // an entry's address for clients
	ready    string
	settings string
	args     []string
	log      *os.File
	done     chan struct{}
}

func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, store: newStore(rec), zones: []string{"z1", "z2", "z3"}, client: &http.Client{Timeout: 4 * time.Second}}
	listener, err := net.Listen("tcp", d.host()+":0")
	if err != nil {
		return d, err
	}
	d.storeAt = listener.Addr().String()
	server := &http.Server{Handler: d.store.handler()}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }() // it ends with the deployment
	return d, nil
}

// host returns a loopback address of its own for one machine.
func (d *deployment) host() string {
	d.nextHost++
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>10&0x3f, pid>>2&0xff, pid&3*60+d.nextHost)
}

// freePort returns a free port of a host.
func freePort(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// render fills in a template of the deploy file. A placeholder without a value is an error.
func render(template string, values map[string]string) (string, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	var missing error
	// The comment on the first lines speaks of placeholders, but has none.
	filled := placeholder.ReplaceAllStringFunc(string(text), func(word string) string {
		value, known := values[strings.Trim(word, "{}")]
		if !known {
			missing = fmt.Errorf("%s: no value for %s", template, word)
		}
		return value
	})
	return filled, missing
}

// roles of the deploy file.
type role struct{ run, template string }

var (
	roleLine = regexp.MustCompile(`(?m)^\[roles\.([a-z]+)\]$`)
	keyLine  = regexp.MustCompile(`(?m)^(run|template) = "([^"]*)"$`)
)

// readRoles reads the commands and templates of the deploy file.
func readRoles() (map[string]role, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	roles := map[string]role{}
	for _, section := range strings.Split(string(text), "\n\n") {
		name := roleLine.FindStringSubmatch(section)
		if name == nil {
			continue
		}
		var r role
		for _, key := range keyLine.FindAllStringSubmatch(section, -1) {
			if key[1] == "run" {
				r.run = key[2]
			} else {
				r.template = key[2]
			}
		}
		roles[name[1]] = r
	}
	return roles, nil
}

// launch starts a process of a role on a machine of its own.
func (d *deployment) launch(roleName, name, zone string, values map[string]string) (*process, error) {
	roles, err := readRoles()
	if err != nil {
		return nil, err
	}
	r, known := roles[roleName]
	if !known {
		return nil, fmt.Errorf("no role %s in the deploy file", roleName)
	}
	values["node"], values["zone"] = name, zone
	values["platform.address"], values["bounds.status_s"] = d.storeAt, "120"
	text, err := render(r.template, values)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, front: values["listen.front"], ready: values["listen.ready"], settings: filepath.Join(d.dir, name+".yaml"), args: strings.Fields(r.run)}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(filepath.Join(d.dir, name+".log")); err != nil {
		return nil, err
	}
	d.processes = append(d.processes, p)
	return p, d.start(p)
}

func (d *deployment) start(p *process) error {
	p.command = exec.Command(p.args[0], p.args[1:]...)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "APRICOTWIND_SETTINGS=" + p.settings}
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		return err
	}
	d.rec.add("process %s: starts, pid %d", p.name, p.command.Process.Pid)
	done, command := make(chan struct{}), p.command
	p.done = done
	go func() {
		err := command.Wait()
		d.rec.add("process %s: ended: %v", p.name, err)
		close(done)
	}()
	return nil
}

// owner returns the entry that last wrote to the store under a condition on the owner's row.
func (d *deployment) owner() (*process, error) {
	var holder struct{ Name string }
	if err := json.Unmarshal(d.store.value(rowKey{Table: "owner", Part: "0", Key: "0"}), &holder); err != nil {
		return nil, err
	}
	for _, e := range d.entries {
		if e.name == holder.Name {
			return e, nil
		}
	}
	return nil, fmt.Errorf("the owner %q is no entry", holder.Name)
}

// kill ends a process at once.
func (d *deployment) kill(p *process) {
	_ = p.command.Process.Signal(syscall.SIGKILL) // it may have ended
	<-p.done
}

// addEntries starts entries, one a zone in turn.
func (d *deployment) addEntries(count int) error {
	for i := range count {
		host := d.host()
		values := map[string]string{"ip": host, "limits.cpu_share": "0.4"}
		for _, name := range []string{"listen.front", "listen.ready"} {
			address, err := freePort(host)
			if err != nil {
				return err
			}
			values[name] = address
		}
		if err := withLink(host, values); err != nil {
			return err
		}
		p, err := d.launch("entry", fmt.Sprintf("front-%d", i+1), d.zones[i%len(d.zones)], values)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, p)
	}
	return nil
}

// withLink adds the port for the links between processes.
func withLink(host string, values map[string]string) error {
	address, err := freePort(host)
	if err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(address)
	values["ephemeral_ports.0"] = port
	return err
}

// addWorker starts a worker with an agent beside it.
func (d *deployment) addWorker(capacity resources, kind string) (*worker, error) {
	i := len(d.workers)
	host := d.host()
	control, err := freePort(host)
	if err != nil {
		return nil, err
	}
	address, err := freePort(host)
	if err != nil {
		return nil, err
	}
	name, zone := fmt.Sprintf("side-%d", i+1), d.zones[i%len(d.zones)]
	w := &worker{rec: d.rec, name: name, zone: zone, labels: []string{kind, fmt.Sprintf("r1-%d", 1+i/3)}, capacity: capacity, address: address, control: control, lapses: map[string][]time.Time{}}
	values := map[string]string{"ip": host, "listen.control": control, "app": address}
	if err := withLink(host, values); err != nil {
		return nil, err
	}
	p, err := d.launch("agent", name, zone, values)
	if err != nil {
		return nil, err
	}
	d.agents, d.workers = append(d.agents, p), append(d.workers, w)
	return w, w.start()
}

// configure writes the operator's configuration.
func (d *deployment) configure(attempts int) {
	d.store.put(rowKey{Table: "op", Key: "config"}, map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "queue", "host": queueHost, "path_prefix": queuePrefix, "service": "svc", "timeout_ms": 3000,
			"target_latency_ms": 300, "priority": 0, "max_attempts": attempts, "stretch": 1.5,
		}},
		"services": []map[string]any{{"name": "svc", "admission_check": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
}

// waitReady waits until all entries are ready, and then for the time that the platform leaves between
// the start of the machines and that of traffic.
func (d *deployment) waitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range d.entries {
		for {
			if response, err := d.client.Get("http://" + e.ready + "/api/ready"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not become ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
	return nil
}

type step struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu"`
	Mem        int    `json:"mem_mb"`
	EstimateMS int    `json:"estimate_ms"`
	Checkpoint bool   `json:"checkpoint,omitempty"`
	Requires   string `json:"requires,omitempty"`
}

// request sends a request of a client to one entry after another until one answers, and returns the
// status and the body.
func (d *deployment) request(method, id string, body any) (int, string, error) {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return 0, "", err
		}
	}
	var failed error
	for _, e := range d.entries {
		status, answer, err := d.ask(e, method, id, text)
		if err == nil && status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
			return status, answer, nil
		}
		failed = errors.Join(failed, err, fmt.Errorf("%s answers %d", e.name, status))
	}
	return 0, "", failed
}

func (d *deployment) ask(e *process, method, id string, text []byte) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+queuePrefix+id, bytes.NewReader(text))
	if err != nil {
		return 0, "", err
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", "3000")
	response, err := d.client.Do(request)
	if err != nil {
		d.rec.add("client: %s %s at %s: %v", method, id, e.name, err)
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	d.rec.add("client: %s %s at %s: %d %s", method, id, e.name, response.StatusCode, bytes.TrimSpace(answer))
	return response.StatusCode, string(answer), err
}

// submit submits a job of one step and requires that it is accepted.
func (d *deployment) submit(id string, spec jobSpec, s step) error {
	return d.submitBody(id, map[string]any{"spec": spec.String(), "steps": []step{s}})
}

// submitAt submits a job of one step that runs once, at the time due.
func (d *deployment) submitAt(due time.Time, id string, spec jobSpec, s step) error {
	return d.submitBody(id, map[string]any{"spec": spec.String(), "steps": []step{s}, "first_run_ms": due.UnixMilli(), "interval_ms": 60000, "repeat_count": 1})
}

func (d *deployment) submitBody(id string, body map[string]any) error {
	status, _, err := d.request(http.MethodPost, id, body)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("job %s: status %d", id, status)
	}
	return err
}

// state returns the state of a job, "" if no entry answers.
func (d *deployment) state(id string) string {
	status, answer, err := d.request(http.MethodGet, id, nil)
	if err != nil || status != http.StatusOK {
		return ""
	}
	var body struct{ State string }
	if json.Unmarshal([]byte(answer), &body) != nil {
		return ""
	}
	return body.State
}

// waitState waits until a job has one of the given states, and returns its last state.
func (d *deployment) waitState(id string, timeout time.Duration, states ...string) string {
	deadline := time.Now().Add(timeout)
	for {
		state := d.state(id)
		for _, wanted := range states {
			if state == wanted {
				return state
			}
		}
		if time.Now().After(deadline) {
			return state
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// close ends all processes that were started.
func (d *deployment) close() {
	for _, w := range d.workers {
		w.crash()
	}
	for _, p := range d.processes {
		if p.command != nil && p.done != nil {
			d.kill(p)
		}
		_ = p.log.Close()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
		return
	}
	fmt.Println(d.dir)
}
