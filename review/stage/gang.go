package main

import (
	"fmt"
	"strings"
	"time"
)

const gangTimeout = 3 * time.Second

// joinGang adds a run to its gang, if its step is one.
func (s *stage) joinGang(r *unitRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, n := s.jobs[jobOf(r.task)], stepOf(r.task)
	if n >= len(j.Steps) || !j.Steps[n].Gang {
		return
	}
	st := j.Steps[n]
	name := fmt.Sprintf("%s run %d", r.task[:strings.LastIndex(r.task, ".")], r.number)
	g := s.gangs[name]
	if g == nil {
		g = &gang{need: st.Count, present: map[string]bool{}}
		s.gangs[name] = g
	}
	r.gang = g
	g.present[r.task] = true
	if len(g.present) == g.need && g.all.IsZero() && g.over == "" {
		g.all = time.Now()
	}
}

// leaveGang records the end of a member, with which the others break.
func (s *stage) leaveGang(r *unitRun, how string) {
	if r.gang == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(r.gang.present, r.task)
	if r.gang.over != "" {
		return
	}
	switch {
	case how == "done":
		r.gang.over = "done"
	case !r.gang.all.IsZero():
		r.gang.over = "broken"
	}
}

// gangEnd returns how a member of a gang ends now, or nothing.
func (s *stage) gangEnd(r *unitRun, now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := r.gang
	switch {
	case g.over != "":
		return g.over
	case !g.all.IsZero() && now.After(g.all.Add(r.work)):
		return "done"
	case g.all.IsZero() && now.After(r.started.Add(gangTimeout)):
		return "alone"
	}
	return ""
}
