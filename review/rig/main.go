// Command rig starts the system on loopback with stand-ins for its platform, its workers and its requesters, and plays
// one case of the review.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes: the rule held, was broken, or the case could not run.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

// cases are the cases by name. Each returns what broke the rule, or nothing.
var cases = map[string]func(f *setup) (broken string, err error){
	"kinds":    playKinds,
	"steps":    playSteps,
	"sizeless": playSizeless,
	"large":    playLarge,
}

// setup is what a case gets.
type setup struct {
	dir, program string
	trouble      bool
	fleet        *fleet
}

func main() {
	os.Exit(play())
}

func play() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE PROGRAM RECORD")
		return exitCannotRun
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	if os.Getenv("RIG_KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Fprintln(os.Stderr, dir)
	}
	s := &setup{dir: dir, program: program, trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := cases[os.Args[1]](s)
	if s.fleet != nil {
		s.fleet.stop()
		switch {
		case err != nil:
			s.fleet.log.add("could not run: %v", err)
		case broken != "":
			s.fleet.log.add("RULE BROKEN: %s", broken)
		default:
			s.fleet.log.add("the rule held")
		}
		if e := s.fleet.log.write(os.Args[3]); e != nil && err == nil {
			err = e
		}
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitCannotRun
	case broken != "":
		fmt.Println("rule broken:", broken)
		return exitBroken
	default:
		fmt.Println("the rule held")
		return exitHeld
	}
}
