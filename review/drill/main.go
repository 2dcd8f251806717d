// Command drill plays the scripted cases of the review on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest bounds a case.
const longest = 110 * time.Second

func main() {
	if len(os.Args) > 4 && os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: drill CASE RECORD")
		os.Exit(2)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "drill: no such case")
		os.Exit(2)
	}
	f := newFleet(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
		}
		f.finish()
		fmt.Fprintln(os.Stderr, "drill: ended early")
		os.Exit(2)
	}()
	broken := play(f, os.Getenv("TROUBLE") != "0")
	f.finish()
	for _, b := range broken {
		f.logf("BROKEN %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	fmt.Println("held")
}

// cases holds each case, which returns how the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken []string){
	"flap":   playFlap,
	"cancel": playCancel,
	"budget": playBudget,
	"reload": playReload,
}
