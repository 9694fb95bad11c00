// Command _standin2 holds the stand-ins and the cases 6 and later of the review: a
// store, workers and clients that follow the users' pages, and entry hosts as processes.
package main

import (
	"os"
	"runtime"
	"time"
)

var cases = map[string]func(b *bed) int{
	"burst":     burstOfPoison,
	"firstpart": poisonAfterFirstEvent,
	"clockback": clockSetBack,
	"limits":    raisedLimit,
	"cold":      coldAgain,
	"query":     changingQuery,
}

// The processes that a case starts end with the thread that started them.
func init() { runtime.LockOSThread() }

// The arguments are the name of a case and the path of its record.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		os.Exit(failed)
	}
	b := newBed(os.Args[2])
	time.AfterFunc(110*time.Second, func() {
		b.note("the case takes too long")
		b.end(failed)
	})
	b.end(cases[os.Args[1]](b))
}
