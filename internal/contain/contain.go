// Package contain keeps a panic in one request or call from ending the process.
package contain

import "runtime/debug"

// Run runs f. If f panics, Run calls onPanic with the value and the stack trace, and returns.
func Run(f func(), onPanic func(reason any, stack []byte)) {
	defer func() {
		if reason := recover(); reason != nil {
			onPanic(reason, debug.Stack())
		}
	}()
	f()
}
