// Command case runs a case of the review: it starts the system's own programs and stand-ins of the platform, the servers
// and the clients, and checks a rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err)
	return &record{file: file, writer: bufio.NewWriter(file), started: time.Now()}
}

// line writes one line with the seconds since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writer.Flush()
	r.file.Close()
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	os.Exit(2)
}

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"late-copy":       lateCopy,
	"lost-removal":    lostRemoval,
	"large-config":    largeConfig,
	"lost-evacuation": lostEvacuation,
	"lost-evidence":   lostEvidence,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: case NAME FOLDER")
	}
	rec := newRecord(os.Args[2] + "/record.txt")
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
	case broken:
		rec.say("the rule was broken")
	default:
		rec.say("the rule held")
	}
	rec.close()
	switch {
	case err != nil:
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
