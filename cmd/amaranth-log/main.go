// Command amaranth-log reads log lines of instances: from a request's id to what explains it, or to the figures of a fleet.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"

	"amaranthstile/inspect"
)

func main() {
	request := flag.String("request", "", "print the lines that explain the request with this id; default: print the figures")
	flag.Usage = func() {
		_, _ = fmt.Fprintln(flag.CommandLine.Output(), "usage: amaranth-log [-request ID] [FILE ...]   (without a file: standard input)")
		flag.PrintDefaults()
	}
	flag.Parse()
	if err := run(os.Stdout, *request, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "amaranth-log:", err)
		os.Exit(1)
	}
}

func run(out io.Writer, request string, files []string) error {
	in, err := input(files)
	if err != nil {
		return err
	}
	lines, skipped, err := inspect.Read(in)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("none of %d lines is of an instance", skipped)
	}
	if request == "" {
		return inspect.Summarize(lines).Write(out)
	}
	found, err := inspect.Explain(out, lines, request)
	if err == nil && !found {
		err = fmt.Errorf("no line on request %s; lines on requests are bounded, see event 1103", request)
	}
	return err
}

// input joins the files, or is standard input.
func input(files []string) (io.Reader, error) {
	if len(files) == 0 {
		return os.Stdin, nil
	}
	var all bytes.Buffer
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		all.Write(data)
		all.WriteByte('\n')
	}
	return &all, nil
}
