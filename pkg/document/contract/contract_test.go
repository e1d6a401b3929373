package contract

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validDocument = `workspaces:
  - name: kilele
    share: 60
classes:
  - name: preview
    kind: service
    quantile: 0.99
    latency: 150ms
  - name: sync
    kind: sync
    progress: 0.5
`

func TestAllErrorsAreReportedTogether(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string
	}{
		{"good", validDocument, nil},
		{"weights and priorities", strings.Replace(validDocument, "    share: 60", "    weight: 3\n    priority: high", 1), []string{
			"line 3: workspaces[0].weight: weights do not exist: state a target (latency, deadline, hourly or progress) instead",
			"line 4: workspaces[0].priority: priorities do not exist: state a target (latency, deadline, hourly or progress) instead",
			"line 2: workspaces[0]: share is missing",
		}},
		{"out of range", strings.NewReplacer("0.99", "99", "0.5", "2", "60", "101").Replace(validDocument), []string{
			"line 2: workspaces[0]: share must be over 0 and at most 100 percent, not 101",
			"line 5: classes[0]: class preview: quantile must be over 0 and below 1",
			"line 9: classes[1]: class sync: progress must be over 0 and at most 1",
			"line 1: the shares of the workspaces add up to 101, over 100",
		}},
		{"target of another kind", strings.Replace(validDocument, "progress: 0.5", "latency: 1s", 1), []string{
			"line 9: classes[1]: class sync: a sync class needs progress",
			"line 9: classes[1]: class sync: latency is no target of a sync class (it has progress)",
		}},
		{"two targets where one is needed", strings.Replace(validDocument, "kind: sync\n    progress: 0.5", "kind: batch\n    deadline: 1h\n    hourly: 30", 1), []string{
			"line 9: classes[1]: class sync: a batch class needs one of deadline, hourly, not 2",
		}},
		{"quota", strings.Replace(validDocument, "share: 60", "share: 60\n    quota:\n      cpu: -1\n      disks: 3", 1), []string{
			"line 6: workspaces[0].quota.disks: unknown key",
			"line 5: workspaces[0].quota: a quota must not be negative",
		}},
		{"not a mapping", "- a\n", []string{"line 1: must hold keys and values"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.text))
			var got []string
			if err != nil {
				got = strings.Split(err.Error(), "\n")
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

func TestReviseChangesOneTargetOnly(t *testing.T) {
	before, err := Parse([]byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	after, err := before.Revise("preview", map[string]string{"latency": "120ms"})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"class preview: latency 150ms -> 120ms"}, Diff(before, after)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validDocument)
	f.Add("workspaces: &a [*a]\nclasses: {}")
	f.Fuzz(func(t *testing.T, text string) {
		document, err := Parse([]byte(text))
		if err != nil {
			return
		}
		again, err := Parse([]byte(document.Text()))
		if err != nil || len(Diff(document, again)) > 0 {
			t.Errorf("parsing the text of an accepted document again failed or changed it: %v", err)
		}
	})
}
