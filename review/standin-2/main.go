// Command standin-2 plays those cases of the second independent review that are scripts: it starts the project's processes and
// stand-ins of the platform's store, the servers and the clients, and judges what these have seen.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the scripts by name. Each returns whether its rule was broken. trouble is false if the disruption is left out.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"memory": playMemory,
	"gone":   playGone,
	"cold":   playCold,
	"lapse":  playLapse,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	code, err := play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
	}
	os.Exit(code)
}

func play(name, folder string, trouble bool) (code int, err error) {
	r, err := newRecord(folder)
	if err != nil {
		return exitNotRun, err
	}
	defer func() {
		if closeErr := r.close(); err == nil && closeErr != nil {
			code, err = exitNotRun, closeErr
		}
	}()
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return exitNotRun, err
	}
	defer os.RemoveAll(temporary)
	s, err := newStore()
	if err != nil {
		return exitNotRun, err
	}
	r.result("case %s, with the disruption: %t", name, trouble)
	broken, err := cases[name](&deployment{record: r, store: s, folder: temporary, memoryMB: memoryMB}, trouble)
	switch {
	case err != nil:
		return exitNotRun, err
	case broken:
		r.result("the rule was BROKEN")
		return exitBroken, nil
	}
	r.result("the rule held")
	return exitHeld, nil
}
