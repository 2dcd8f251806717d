package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxLogLine is the largest accepted line of a log, in bytes; entries write
	// far shorter ones.
	maxLogLine = 1 << 20
	// minReportedSilence is the shortest pause between two lines that is printed.
	// While a job is open, events about it or about the owner are logged more
	// often than that.
	minReportedSilence = 2 * time.Second
	// firstOwnerEvent and lastOwnerEvent are the range of the events about the
	// owner of the pools; a change of the owner explains a silence.
	firstOwnerEvent, lastOwnerEvent = 8201, 8299
	// limitReachedEvent and limitLeftEvent are the events about the limit of an
	// organisation, which explain why the tasks of its jobs wait.
	limitReachedEvent, limitLeftEvent = 8311, 8312
)

type explainCommand struct {
	ID    string   `arg:"positional,required" help:"identifier of the job"`
	Dump  string   `arg:"--dump" placeholder:"FILE" help:"summary of the owner with the job, read from its address /dump?job=ID"`
	Files []string `arg:"positional" placeholder:"FILE" help:"logs of entries, in any order; the standard input if left out without --dump"`
}

// logLine is one event in the JSON format of an entry's log.
type logLine struct {
	Fields    map[string]any `json:"fields"`
	Message   string         `json:"message"`
	Timestamp time.Time      `json:"timestamp"`
	// source is the name of the file, or the last word that precedes the event in
	// its line.
	source string
}

// explain prints the events of a job from logs, ordered by time.
func explain(c *explainCommand, stdin io.Reader, p printer) (code int) {
	if c.Dump != "" {
		j, err := readExpected(c.ID, c.Dump)
		if err != nil {
			return p.reportError(ExitUsage, err)
		}
		j.print(p.out)
		if len(c.Files) == 0 {
			return ExitDone
		}
	}
	var s timeline
	if len(c.Files) == 0 {
		if err := s.collect(c.ID, "", stdin); err != nil {
			return p.reportError(ExitUsage, err)
		}
	}
	for _, name := range c.Files {
		if err := s.collectFile(c.ID, name); err != nil {
			return p.reportError(ExitUsage, err)
		}
	}
	if s.jobLines == 0 {
		return p.reportError(ExitRefused, errors.Errorf("no log line mentions job %q (%d lines read, %d malformed)", c.ID, s.totalLines, s.malformedLines))
	}
	s.print(c.ID, p.out)
	return ExitDone
}

// timeline holds the log lines about a job and about changes of the owner.
type timeline struct {
	lines []logLine
	// jobLines counts the lines about the job. totalLines counts all lines that
	// contain a '{', and malformedLines those of them that are not valid JSON.
	jobLines, totalLines, malformedLines int
}

func (t *timeline) collectFile(id, name string) (err error) {
	f, err := os.Open(name) //nolint:gosec // the operator names the file
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return t.collect(id, name, f)
}

// collect reads a log and keeps the lines about the job and about the owner.
func (t *timeline) collect(id, source string, r io.Reader) (err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		prefix, event, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !found {
			continue
		}
		t.totalLines++
		l := logLine{source: source}
		if before := strings.Fields(string(prefix)); len(before) > 0 {
			l.source = before[len(before)-1]
		}
		if err := json.Unmarshal(append([]byte("{"), event...), &l); err != nil {
			t.malformedLines++
			continue
		}
		switch {
		case l.isAboutJob(id):
			t.jobLines++
			t.lines = append(t.lines, l)
		case l.isOwnerEvent(), l.isLimitEvent():
			t.lines = append(t.lines, l)
		}
	}
	return scanner.Err()
}

// isAboutJob reports whether the event names the job or one of its tasks.
func (l *logLine) isAboutJob(id string) bool {
	task, _ := l.Fields["task"].(string)
	return l.Fields["job"] == id || strings.HasPrefix(task, id+".")
}

// isOwnerEvent reports whether the event is about the owner of the pools.
func (l *logLine) isOwnerEvent() bool {
	number, _ := l.Fields["event"].(float64)
	return number >= firstOwnerEvent && number <= lastOwnerEvent
}

// isLimitEvent reports whether the event is about the limit of an organisation.
func (l *logLine) isLimitEvent() bool {
	number, _ := l.Fields["event"].(float64)
	return number == limitReachedEvent || number == limitLeftEvent
}

// dropOtherLimits drops the events about limits of other organisations than the job's.
func (t *timeline) dropOtherLimits(id string) {
	organisation := ""
	for _, l := range t.lines {
		if name, _ := l.Fields["organisation"].(string); name != "" && l.isAboutJob(id) {
			organisation = name
		}
	}
	t.lines = slices.DeleteFunc(t.lines, func(l logLine) bool {
		return l.isLimitEvent() && !l.isAboutJob(id) && (organisation == "" || l.Fields["organisation"] != organisation)
	})
}

// print writes the lines ordered by time. Events about the owner, and about the limit of the
// job's organisation, are included only between the first and the last line about the job.
func (t *timeline) print(id string, out io.Writer) {
	t.dropOtherLimits(id)
	slices.SortStableFunc(t.lines, func(a, b logLine) int { return a.Timestamp.Compare(b.Timestamp) })
	first := slices.IndexFunc(t.lines, func(l logLine) bool { return l.isAboutJob(id) })
	last := first
	for i := range t.lines {
		if t.lines[i].isAboutJob(id) {
			last = i
		}
	}
	previous := t.lines[first].Timestamp
	for _, l := range t.lines[first : last+1] {
		if silence := l.Timestamp.Sub(previous); silence > minReportedSilence {
			fmt.Fprintf(out, "  ... nothing for %s\n", silence.Round(time.Millisecond))
		}
		previous = l.Timestamp
		fmt.Fprintf(out, "%s %s %v %s%s\n", l.Timestamp.Format("15:04:05.000"), l.source, l.Fields["event"], l.Message, l.formatFields())
	}
	if t.malformedLines > 0 {
		fmt.Fprintf(out, "  ... %d lines could not be read\n", t.malformedLines)
	}
}

// formatFields returns the fields except event and job as text, sorted by name.
func (l *logLine) formatFields() string {
	var text strings.Builder
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "event" && name != "job" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%v", name, l.Fields[name])
	}
	return text.String()
}
