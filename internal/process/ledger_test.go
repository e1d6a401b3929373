package process_test

import (
	"bytes"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apricotwind/apricotwind/internal/job"
	"github.com/apricotwind/apricotwind/internal/ledger"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/internal/standin"
	"github.com/apricotwind/apricotwind/internal/testcluster"
	"github.com/apricotwind/apricotwind/pkg/document/contract"
	"github.com/google/go-cmp/cmp"
)

// TestReportAgreesWithTheLog runs requests and jobs while faults occur and computes the
// report twice: from the ledger and from the log lines of all entries. Both must agree.
func TestReportAgreesWithTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		logger, err := logs.New(&log, "info", "test", "all")
		if err != nil {
			t.Fatal(err)
		}
		p := &cluster{t: t, Cluster: testcluster.New(t, 3, func(p *testcluster.Cluster) { p.Log = logger })}
		p.ActivateContract()
		p.submit(job.Submission{Tasks: 24, Runtime: 4 * time.Second, Idempotent: true})
		for n := range 100 {
			p.do([]string{http.MethodGet, http.MethodPost}[n%2], []string{"e0", "e1"}[n/2%2], nil,
				standin.HeaderWork, []string{"20", "200"}[n%3%2], "Apricotwind-Timeout", "190")
			if n == 50 {
				p.Agents["m0"].Kill()
			}
		}
		p.Platform.Set(standin.Faults{DropReply: 0.5})
		time.Sleep(30 * time.Second)
		p.Platform.Set(standin.Faults{})
		time.Sleep(2 * time.Second)
		if err := p.Entries["e1"].Drain(); err != nil {
			t.Fatal(err)
		}
		want, err := p.Operator("e0").Report(p.Ctx, time.Time{}, time.Now(), "", "")
		if err != nil {
			t.Fatal(err)
		}
		document, err := contract.Parse([]byte(testcluster.Contract))
		if err != nil {
			t.Fatal(err)
		}
		got, err := ledger.FromLog(bytes.NewReader(log.Bytes()), document)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(lines(want), lines(got)); diff != "" || len(want.Gaps) > 0 {
			t.Errorf("gaps %v; ledger against log (-ledger +log):\n%s", want.Gaps, diff)
		}
		if n := want.Rows[0].Owed; n != 100 || want.Rows[1].Owed != 24 {
			t.Errorf("%d requests and %d tasks were sent, the report has %d and %d", 100, 24, n, want.Rows[1].Owed)
		}
	})
}

// line holds the columns of a report's row that must agree.
type line struct {
	Workspace, Class     string
	Owed                 int
	Fates, Causes, Moves map[string]int
	Tail, Median         float64
	Met                  string
}

func lines(report ledger.Report) []line {
	var list []line
	for _, l := range report.Rows {
		list = append(list, line{l.Workspace, l.Class, l.Owed, l.Outcomes, l.Causes, l.Moves, l.Tail, l.Median, l.Status})
	}
	return list
}
