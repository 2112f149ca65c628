package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: file, writer: bufio.NewWriter(file), started: time.Now()}, err
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%9.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// result writes a line and prints it too.
func (r *record) result(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writer.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
