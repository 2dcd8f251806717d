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
	// maxLogLine bounds a line of a log; entries write far shorter ones.
	maxLogLine = 1 << 20
	// gap is a silence that is named in the story; while a job is open, something
	// is written of it or of its owner more often.
	gap = 2 * time.Second
	// firstOwnerEvent and lastOwnerEvent are the numbers of events about who owns
	// the pools, which explain a silence.
	firstOwnerEvent, lastOwnerEvent = 8201, 8299
)

type explainCommand struct {
	ID    string   `arg:"positional,required" help:"identifier of the job"`
	Files []string `arg:"positional" placeholder:"FILE" help:"logs of entries, in any order; the standard input if left out"`
}

// logLine is an event as entries write it.
type logLine struct {
	Fields    map[string]any `json:"fields"`
	Message   string         `json:"message"`
	Timestamp time.Time      `json:"timestamp"`
	// source is the file, or what stands before the event in its line.
	source string
}

// explain prints the story of a job from logs.
func explain(c *explainCommand, stdin io.Reader, p printer) (code int) {
	var s story
	if len(c.Files) == 0 {
		if err := s.read(c.ID, "", stdin); err != nil {
			return p.fail(ExitUsage, err)
		}
	}
	for _, name := range c.Files {
		if err := s.readFile(c.ID, name); err != nil {
			return p.fail(ExitUsage, err)
		}
	}
	if s.found == 0 {
		return p.fail(ExitRefused, errors.Errorf("no line of the logs is about %q (%d lines read, %d not readable)", c.ID, s.seen, s.broken))
	}
	s.print(c.ID, p.out)
	return ExitDone
}

// story is what logs tell of a job.
type story struct {
	lines []logLine
	// found counts lines about the job; the others tell of owners.
	found, seen, broken int
}

func (s *story) readFile(id, name string) (err error) {
	f, err := os.Open(name) //nolint:gosec // the operator names the file
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return s.read(id, name, f)
}

// read collects the lines about the job and about owners.
func (s *story) read(id, source string, r io.Reader) (err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		prefix, event, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !found {
			continue
		}
		s.seen++
		l := logLine{source: source}
		if before := strings.Fields(string(prefix)); len(before) > 0 {
			l.source = before[len(before)-1]
		}
		if err := json.Unmarshal(append([]byte("{"), event...), &l); err != nil {
			s.broken++
			continue
		}
		switch {
		case l.about(id):
			s.found++
			s.lines = append(s.lines, l)
		case l.ofOwner():
			s.lines = append(s.lines, l)
		}
	}
	return scanner.Err()
}

func (l *logLine) about(id string) bool {
	task, _ := l.Fields["task"].(string)
	return l.Fields["job"] == id || strings.HasPrefix(task, id+".")
}

func (l *logLine) ofOwner() bool {
	number, _ := l.Fields["event"].(float64)
	return number >= firstOwnerEvent && number <= lastOwnerEvent
}

// print writes the lines in order, with owners only while the job was open.
func (s *story) print(id string, out io.Writer) {
	slices.SortStableFunc(s.lines, func(a, b logLine) int { return a.Timestamp.Compare(b.Timestamp) })
	first := slices.IndexFunc(s.lines, func(l logLine) bool { return l.about(id) })
	last := first
	for i := range s.lines {
		if s.lines[i].about(id) {
			last = i
		}
	}
	earlier := s.lines[first].Timestamp
	for _, l := range s.lines[first : last+1] {
		if silence := l.Timestamp.Sub(earlier); silence > gap {
			fmt.Fprintf(out, "  ... nothing for %s\n", silence.Round(time.Millisecond))
		}
		earlier = l.Timestamp
		fmt.Fprintf(out, "%s %s %v %s%s\n", l.Timestamp.Format("15:04:05.000"), l.source, l.Fields["event"], l.Message, l.details())
	}
	if s.broken > 0 {
		fmt.Fprintf(out, "  ... %d lines could not be read\n", s.broken)
	}
}

// details returns the fields in order.
func (l *logLine) details() string {
	var text strings.Builder
	names := make([]string, 0, len(l.Fields))
	for n := range l.Fields {
		if n != "event" && n != "job" {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		fmt.Fprintf(&text, " %s=%v", n, l.Fields[n])
	}
	return text.String()
}
