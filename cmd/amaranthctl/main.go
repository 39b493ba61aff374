// Command amaranthctl is the command-line tool for operators. "amaranthctl help" prints its usage.
package main

import (
	"context"
	"os"

	"amaranthstile/operator"
)

func main() {
	os.Exit(operator.Run(context.Background(), operator.Env{Out: os.Stdout, Err: os.Stderr}, os.Args[1:]))
}
