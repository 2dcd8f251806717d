package job

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

// progressOf returns the progress of a job in which each task is in the state that a function gives.
func progressOf(j *Job, state func(number int) (done bool, failures []int, dropped Dropped)) (progress []Progress) {
	number := 0
	for o := range j.Occurrences() {
		for i := range j.Steps {
			p := Progress{Occurrence: o, Step: i}
			for index := range j.Steps[i].Count {
				done, failures, dropped := state(number)
				number++
				if done {
					p.Done = append(p.Done, index)
				}
				if len(failures) > 0 {
					if p.Failures == nil {
						p.Failures = make(map[int][]int)
					}
					p.Failures[index] = failures
				}
				if dropped.Count > 0 {
					if p.Dropped == nil {
						p.Dropped = make(map[int]Dropped)
					}
					p.Dropped[index] = dropped
				}
			}
			if len(p.Done)+len(p.Failures)+len(p.Dropped) > 0 {
				progress = append(progress, p)
			}
		}
	}
	return progress
}

// longJobs are jobs with as many tasks, steps or occurrences as a job may have, or with long names.
func longJobs() map[string]Job {
	steps := func(count int, s Step) (steps []Step) {
		for range count {
			steps = append(steps, s)
		}
		return steps
	}
	named := func(letter string) Step {
		return Step{Count: 1, Image: strings.Repeat(letter, 100), RequiredLabel: strings.Repeat(letter, 100), DataRack: strings.Repeat(letter, 100)}
	}
	jobs := map[string]Job{
		"tasks":       {Steps: steps(1, Step{Count: 20_000, CPU: 10})},
		"steps":       {Steps: steps(20_000, Step{Count: 1})},
		"occurrences": {Steps: steps(2, Step{Count: 1}), Repeat: 10_000, IntervalMillis: 1},
		"names":       {Steps: steps(800, named("<"))},
		"odd names":   {Steps: steps(800, named("\u2028"))},
		"broken text": {Steps: steps(800, named("\xff")), Spec: strings.Repeat("\x01", 4000)},
		"small":       {Steps: steps(2, Step{Count: 8, CPU: 1800, EstimateMillis: 640})},
	}
	for name, j := range jobs {
		j.ID, j.Queue, j.Pool, j.MaxAttempts = "000000000000000a", "q", "p", 3
		jobs[name] = j
	}
	return jobs
}

// TestRecordOfAcceptedJobFitsUntilItsEnd guards against a record that becomes longer than the store accepts after
// its job was accepted, by its ends, its failures or its names: it can never be stored again.
func TestRecordOfAcceptedJobFitsUntilItsEnd(t *testing.T) {
	for name, j := range longJobs() {
		for _, limit := range []int{1 << 20, 256 << 10, 64 << 10} {
			fits := j.FitsRecord(limit)
			if name == "small" && !fits {
				t.Errorf("a job of two steps is refused by a limit of %d", limit)
			}
			if !fits {
				continue
			}
			for state, task := range map[string]func(number int) (done bool, failures []int){
				"all done":        func(int) (bool, []int) { return true, nil },
				"each second":     func(n int) (bool, []int) { return n%2 == 0, []int{1} },
				"done in pairs":   func(n int) (bool, []int) { return n%3 > 0, []int{65, 66} },
				"failed":          func(int) (bool, []int) { return false, []int{1, 65} },
				"failed by turns": func(n int) (bool, []int) { return n%4 == 0, []int{1 + 64*(n%2), 66 + 63*(n%3/2)} },
			} {
				r := Record{Job: j, State: Running, Progress: progressOf(&j, func(n int) (bool, []int, Dropped) {
					done, failures := task(n)
					if done {
						failures = nil
					}
					return done, failures, Dropped{}
				})}
				value, err := r.Encode()
				if err != nil || len(value) > limit {
					t.Errorf("%s, %s: %d bytes of %d, error %v", name, state, len(value), limit, err)
				}
			}
		}
	}
	if j := longJobs()["tasks"]; !j.FitsRecord(1 << 20) {
		t.Error("a job of 20,000 tasks is refused")
	}
	if j := longJobs()["steps"]; !j.FitsRecord(1 << 20) {
		t.Error("a job of 20,000 steps is refused")
	}
}

// TestShortFormKeepsProgress guards against done tasks that start again, or failed runs that are forgotten, because
// the short form of a record is read as another one.
func TestShortFormKeepsProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := Job{ID: "000000000000000a", Queue: "q", Pool: "p", Repeat: rapid.IntRange(0, 3).Draw(t, "repeat")}
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			j.Steps = append(j.Steps, Step{Count: rapid.IntRange(1, 600).Draw(t, "count")})
		}
		seed := rapid.IntRange(1, 7).Draw(t, "seed")
		r := Record{Job: j, State: Running, Progress: progressOf(&j, func(n int) (done bool, failures []int, dropped Dropped) {
			switch n * seed % 5 {
			case 0:
				failures = []int{1, 2 + n%3}
			case 1:
				dropped = Dropped{Count: 1 + n%2, Last: 64}
			default:
				done = true
			}
			return done, failures, dropped
		})}
		value, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(value, 1)
		if err != nil {
			t.Fatal(err)
		}
		if want := byTask(r.Progress); !reflect.DeepEqual(byTask(got.Progress), want) {
			t.Fatalf("read as %v, want %v", got.Progress, r.Progress)
		}
	})
}

// byTask returns what progress says of each task.
func byTask(progress []Progress) (tasks map[string]string) {
	tasks = make(map[string]string)
	for _, p := range progress {
		name := func(index int) string { return TaskRef{Occurrence: p.Occurrence, Step: p.Step, Index: index}.String() }
		for _, index := range p.Done {
			tasks[name(index)] += "done"
		}
		for index, runs := range p.Failures {
			tasks[name(index)] += fmt.Sprint("failed", runs)
		}
		for index, d := range p.Dropped {
			tasks[name(index)] += fmt.Sprint("dropped", d)
		}
	}
	return tasks
}

// TestOddRangesAreRefused guards against a record whose ranges name tasks that the job does not have.
func TestOddRangesAreRefused(t *testing.T) {
	for text, valid := range map[string]bool{
		`"0-1"`: true, `"0,2"`: true, `""`: true, `"3"`: false, `"1-0"`: false, `"0,0"`: false, `"-1"`: false, `"0-"`: false, `"a"`: false,
		`"0-99999999999999999999"`: false, `"1,0"`: false, `"0-1,1"`: false,
	} {
		value := `{"id":"j","steps":[{"count":2},{"count":1}],"state":"running","doneTasks":` + text + `}`
		if _, err := Decode([]byte(value), 1); (err == nil) != valid {
			t.Errorf("%s: error %v", text, err)
		}
	}
}

// TestTooLongRecordLosesHintsOnly guards against a record that is not stored for the lost endpoints in it, and against
// one that is cut in another place.
func TestTooLongRecordLosesHintsOnly(t *testing.T) {
	r := Record{Job: Job{ID: "j", Steps: []Step{{Count: 2}}}, State: Running, Progress: []Progress{
		{Done: []int{0}, Failures: map[int][]int{1: {1}}, Crashes: map[int][]Crash{1: {{Run: 2, Endpoint: strings.Repeat("e", 500)}}}},
	}}
	value, shortened, err := r.EncodeWithin(400)
	if err != nil || !shortened || len(value) > 400 {
		t.Fatalf("%d bytes, shortened %t, error %v", len(value), shortened, err)
	}
	got, err := Decode(value, 1)
	if err != nil || len(got.Progress) != 1 || !reflect.DeepEqual(got.Progress[0].Done, []int{0}) || len(got.Progress[0].Failures) != 1 {
		t.Errorf("read as %+v, error %v", got.Progress, err)
	}
	if len(r.Progress[0].Crashes) == 0 {
		t.Error("the record itself has changed")
	}
	if _, _, err = r.EncodeWithin(50); !errors.Is(err, ErrTooLong) {
		t.Errorf("error %v, want %v", err, ErrTooLong)
	}
}
