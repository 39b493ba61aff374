// Package httpclient makes up for what net/http's client accepts from a server that fails: a part of a response that looks
// whole, because the connection was reset behind it, and a response that is no HTTP, because of its status or the names of
// its fields.
package httpclient
