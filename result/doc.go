// Package result defines the numbered result codes of the system and the errors that carry them.
//
// Every rejection and failure that leaves a process, towards a client, an operator, a backend server or another
// instance, carries one Code. The meaning of a code never changes. docs/RESULT-CODES.md lists all codes; a test
// checks that the page matches this package. An error also states whether the request of the client was run.
package result
