package placement

import (
	"fmt"
	"testing"
	"time"
)

// fleet returns an owner with instances that have all sent a heartbeat, jobs of tasks that
// are placed on them, and jobs of waiting tasks.
func fleet(instances, running, waiting int) (*Owner, time.Time) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	o := New(now, Spread, 1, testTTL)
	need := Resources{Processors: 1}
	for i := range instances {
		name := fmt.Sprintf("i%05d", i)
		o.Announce(now, Instance{Name: name, Rack: fmt.Sprint(i / 16), Capacity: Resources{Processors: 64}})
		session := o.Heartbeat(now, Heartbeat{Instance: name, Epoch: 1}, true).Session
		o.Heartbeat(now, Heartbeat{Instance: name, Incarnation: "1", WorkerIncarnation: "1", Epoch: 1, Session: session, Sequence: 1}, true)
	}
	add := func(id string, tasks []Task) {
		job := Job{ID: id, Workspace: fmt.Sprintf("w%d", len(id)+len(o.jobs)%200), Tasks: len(tasks), Need: need, Runtime: time.Hour, Idempotent: true}
		for first := 0; first < len(tasks); first += ChunkSize {
			last := min(first+ChunkSize, len(tasks))
			o.Load(now, job, Chunk{Job: id, Index: first / ChunkSize, Tasks: tasks[first:last]}, 1)
		}
	}
	for j := 0; j*100 < running; j++ {
		tasks := make([]Task, min(100, running-j*100))
		for n := range tasks {
			tasks[n] = Task{Number: n, State: Placed, Attempt: 1, Instance: fmt.Sprintf("i%05d", (j*100+n)%instances), WorkerIncarnation: "1"}
		}
		add(fmt.Sprintf("r%d", j), tasks)
	}
	for j := 0; j*100 < waiting; j++ {
		tasks := make([]Task, 100)
		for n := range tasks {
			tasks[n] = Task{Number: n}
		}
		add(fmt.Sprintf("w%d", j), tasks)
	}
	return o, now
}

// BenchmarkStarts measures placing and committing tasks, with as many instances as one
// shard has and as the whole deployment has. ns/start is the time for one placed task.
func BenchmarkStarts(b *testing.B) {
	for _, size := range []struct{ instances, running int }{{11, 100}, {100, 2400}, {400, 9600}, {4000, 96_000}} {
		b.Run(fmt.Sprintf("instances=%d", size.instances), func(b *testing.B) {
			o, now := fleet(size.instances, size.running, 0)
			starts, rows, commits := 0, 0, 0
			for i := 0; b.Loop(); i++ {
				if i%50 == 49 {
					b.StopTimer()
					o, now = fleet(size.instances, size.running, 0)
					b.StartTimer()
				}
				job := Job{ID: fmt.Sprintf("n%d", i), Workspace: "w", Tasks: 48, Need: Resources{Memory: 0}, Runtime: time.Hour, Idempotent: true}
				for _, chunk := range Split(job, "") {
					o.Load(now, job, chunk, 1)
				}
				rows += len(o.Plan(now))
				commits++
				o.Committed(now, 2)
				for _, d := range o.Decisions() {
					if d.Action == Place {
						starts++
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(starts), "ns/start")
			b.ReportMetric(float64(rows)/float64(starts), "rows/start")
			b.ReportMetric(float64(commits)/float64(starts), "commits/start")
		})
	}
}

// BenchmarkHeartbeats measures the replies to heartbeats of agents that hold 24 tasks each.
func BenchmarkHeartbeats(b *testing.B) {
	for _, instances := range []int{11, 100, 400, 4000} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			o, now := fleet(instances, instances*24, 0)
			heartbeats := make([]Heartbeat, instances)
			for i := range heartbeats {
				name := fmt.Sprintf("i%05d", i)
				heartbeats[i] = Heartbeat{Instance: name, Incarnation: "1", WorkerIncarnation: "1", Epoch: 1, Session: o.instances[name].session}
				for task := range o.instances[name].tasks {
					heartbeats[i].Held = append(heartbeats[i].Held, TaskStatus{Task: task, Attempt: 1, RunState: Running})
				}
			}
			for i := 0; b.Loop(); i++ {
				heartbeat := heartbeats[i%instances]
				heartbeat.Sequence = uint64(i + 2)
				if reply := o.Heartbeat(now, heartbeat, true); len(reply.Start)+len(reply.Stop) > 0 {
					b.Fatalf("unexpected orders: %+v", reply)
				}
			}
		})
	}
}

// BenchmarkRecovery measures loading a shard's tasks, as a new owner does.
func BenchmarkRecovery(b *testing.B) {
	for _, tasks := range []int{2400, 24_000, 96_000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			for b.Loop() {
				fleet(tasks/24, tasks, 0)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tasks), "ns/task")
		})
	}
}
