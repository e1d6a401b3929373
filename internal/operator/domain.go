package operator

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/evacuation"
	"github.com/apricotwind/apricotwind/internal/problem"
	"github.com/apricotwind/apricotwind/internal/record"
	"go.uber.org/zap"
)

// DomainChange evacuates a failure domain or takes it back. By names the operator.
type DomainChange struct {
	Evacuated bool   `json:"evacuated"`
	By        string `json:"by"`
}

// Domain is one failure domain and what is left there. By and At say who evacuated it and when.
type Domain struct {
	Name      string    `json:"name"`
	Evacuated bool      `json:"evacuated"`
	By        string    `json:"by,omitempty"`
	At        time.Time `json:"at,omitzero"`
	Instances int       `json:"instances"`
	Requests  int       `json:"requests"` // that run or wait on its instances
	Tasks     int       `json:"tasks"`    // that are placed on its instances
}

// DomainStatus is the state of all failure domains, and the version of the evacuated ones that is in
// force on each entry.
type DomainStatus struct {
	Status
	Domains []Domain `json:"domains"`
}

// changeDomain evacuates a domain or takes it back.
func (s *Server) changeDomain(c call) (any, error) {
	change, err := readBody[DomainChange](c)
	if err != nil {
		return nil, err
	}
	if c.id != strings.TrimSpace(c.id) || len(c.id) > maxDomainBytes {
		return nil, problem.New(http.StatusUnprocessableEntity, problem.Refused, "check", "the name of a failure domain has no spaces around it and is not longer than 200 bytes")
	}
	evacuations, err := evacuation.ChangeRequest(c.ctx, s.table, c.id, change.Evacuated, change.By, s.newID)
	if err != nil {
		return nil, err
	}
	s.log.Info("domain-changed", zap.String("domain", c.id), zap.Bool("evacuated", change.Evacuated), zap.String("by", change.By), zap.Uint64("version", evacuations.Version))
	s.hooks.OnEvacuations(evacuations)
	accepted := Accepted{Version: evacuations.Version}
	if change.Evacuated && !slices.ContainsFunc(s.countRequests(), func(d Domain) bool { return d.Name == c.id }) {
		accepted.Warnings = append(accepted.Warnings, "no instance is in the failure domain "+c.id)
	}
	return accepted, nil
}

// maxDomainBytes bounds the name of a failure domain.
const maxDomainBytes = 200

// localDomains returns the version in force on this entry.
func (s *Server) localDomains(call) (any, error) {
	version := s.hooks.Evacuations().Version
	return Status{Version: version, Nodes: []NodeVersion{{Node: s.name, Role: "entry", Version: version}}}, nil
}

// domains returns the state of all domains: those with instances and those that are evacuated.
func (s *Server) domains(c call) (any, error) {
	evacuations, err := evacuation.ReadRequests(c.ctx, s.table)
	if err != nil {
		return nil, err
	}
	domains := s.countRequests()
	for _, evacuated := range evacuations.Domains {
		index := slices.IndexFunc(domains, func(d Domain) bool { return d.Name == evacuated.Domain })
		if index < 0 {
			index = len(domains)
			domains = append(domains, Domain{Name: evacuated.Domain})
		}
		domains[index].Evacuated, domains[index].By, domains[index].At = true, evacuated.By, evacuated.At
	}
	if err := s.countTasks(c.ctx, domains); err != nil {
		return nil, err
	}
	slices.SortFunc(domains, func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
	nodes, err := s.domainVersions(c.ctx)
	return DomainStatus{Status: Status{Version: evacuations.Version, Nodes: nodes}, Domains: domains}, err
}

// countRequests returns the domains of the instances that this entry knows, with their requests.
func (s *Server) countRequests() []Domain {
	var domains []Domain
	for _, instance := range s.hooks.Requests() {
		index := slices.IndexFunc(domains, func(d Domain) bool { return d.Name == instance.Domain })
		if index < 0 {
			index = len(domains)
			domains = append(domains, Domain{Name: instance.Domain})
		}
		domains[index].Instances++
		domains[index].Requests += instance.Requests
	}
	return domains
}

// countTasks adds the tasks that are placed on the instances of each domain.
func (s *Server) countTasks(ctx context.Context, domains []Domain) error {
	chunks, err := record.Scan[placement.Chunk](ctx, s.table, record.ChunkPrefix)
	if err != nil {
		return err
	}
	domainOf := map[string]string{}
	for _, instance := range s.hooks.Requests() {
		domainOf[instance.Name] = instance.Domain
	}
	tasks := map[string]int{}
	for _, chunk := range chunks {
		for _, task := range chunk.Tasks {
			if domain, known := domainOf[task.Instance]; known && task.State == placement.Placed {
				tasks[domain]++
			}
		}
	}
	for i := range domains {
		domains[i].Tasks = tasks[domains[i].Name]
	}
	return nil
}

// domainVersions collects from every entry the version in force there.
func (s *Server) domainVersions(ctx context.Context) ([]NodeVersion, error) {
	rows, err := record.Scan[record.Entry](ctx, s.table, record.EntryPrefix)
	if err != nil {
		return nil, err
	}
	nodes := []NodeVersion{{Node: s.name, Role: "entry", Version: s.hooks.Evacuations().Version}}
	for _, row := range rows {
		if row.Name == s.name {
			continue
		}
		peerCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		status, err := s.peers("http://" + row.OperatorAddress).LocalDomains(peerCtx)
		cancel()
		if err != nil {
			status.Nodes = []NodeVersion{{Node: row.Name, Role: "entry", Reason: "did not answer: " + err.Error()}}
		}
		nodes = append(nodes, status.Nodes...)
	}
	slices.SortFunc(nodes, func(a, b NodeVersion) int { return cmp.Compare(a.Node, b.Node) })
	return nodes, nil
}
