// Package bytebudget accounts for the memory and the connections that the clients of one process use, and decides which
// connection is ended when either runs out.
//
// A Budget has a number of bytes and a number of connections. Each Conn is a connection; a Lease is what one user of it,
// such as the head of a request or its processing, has taken. The budget counts estimates that the users state: it reads
// no clock, does no I/O and starts no goroutine. All calls are safe for concurrent use; a call costs O(1), or O(n) for n
// connections while the budget is used up. It is designed for 2,000 connections with 10,000 calls per second.
package bytebudget
