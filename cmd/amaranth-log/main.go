// Command amaranth-log reads log lines of instances. It prints the lines that explain one request, or a summary of the
// fleet.
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
	request := flag.String("request", "",
		"print the lines that explain the request with this ID; default: print a summary of the fleet")
	flag.Usage = func() {
		_, _ = fmt.Fprintln(flag.CommandLine.Output(),
			"usage: amaranth-log [-request ID] [FILE ...]   (reads standard input if no file is given)")
		flag.PrintDefaults()
	}
	flag.Parse()
	if err := run(os.Stdout, *request, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "amaranth-log:", err)
		os.Exit(1)
	}
}

// run prints the lines that explain a request, or the summary of the fleet if request is empty.
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
		return fmt.Errorf("no log line of an instance in %d lines", skipped)
	}
	if request == "" {
		return inspect.Summarize(lines).Write(out)
	}
	found, err := inspect.Explain(out, lines, request)
	if err == nil && !found {
		err = fmt.Errorf("no log line about request %s; the number of lines about requests is limited, see event 1103", request)
	}
	return err
}

// input returns the concatenated contents of the files, or standard input if there are none.
func input(files []string) (io.Reader, error) {
	if len(files) == 0 {
		return os.Stdin, nil
	}
	var contents bytes.Buffer
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		contents.Write(data)
		contents.WriteByte('\n')
	}
	return &contents, nil
}
