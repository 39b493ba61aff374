package pipelining

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"runtime/debug"
	"slices"
)

// aheadRequest is a request that is processed ahead of its turn.
type aheadRequest struct {
	request  *http.Request // as it was parsed, before a handler changed its headers
	response *deferredResponse
	cancel   context.CancelFunc
	done     chan struct{} // closed when the handler has returned
	aborted  bool          // the handler panicked; valid after done
}

// sameRequest reports whether r is the same request, parsed by the server.
func (a *aheadRequest) sameRequest(r *http.Request) bool {
	x := a.request
	return x.Method == r.Method && x.RequestURI == r.RequestURI && x.Host == r.Host && x.Proto == r.Proto &&
		r.ContentLength == 0 && maps.EqualFunc(x.Header, r.Header, slices.Equal)
}

// run passes the request to the handler. A panic is reported and ends this request only.
func (a *aheadRequest) run(h http.Handler, r *http.Request, report func(format string, args ...any)) {
	defer close(a.done)
	defer a.cancel()
	defer func() {
		reason := recover()
		a.aborted = reason != nil
		if err, ok := reason.(error); ok && errors.Is(err, http.ErrAbortHandler) || reason == nil {
			return
		}
		report("http: panic serving %v: %v\n%s", r.RemoteAddr, reason, debug.Stack())
	}()
	h.ServeHTTP(a.response, r)
	a.response.finish()
}

// deliver writes the response to w, which belongs to r, the same request as parsed by the server.
func (a *aheadRequest) deliver(w http.ResponseWriter, r *http.Request) {
	stop := context.AfterFunc(r.Context(), a.cancel)
	defer stop()
	a.response.release(w)
	<-a.done
	if a.aborted {
		panic(http.ErrAbortHandler)
	}
}

// deferredResponse is an http.ResponseWriter whose first write waits for the turn of its request.
type deferredResponse struct {
	ctx      context.Context // of the request
	header   http.Header     // before the turn of the request
	released chan http.ResponseWriter
	w        http.ResponseWriter // nil before the first write
}

func newDeferredResponse(ctx context.Context) *deferredResponse {
	return &deferredResponse{ctx: ctx, header: make(http.Header), released: make(chan http.ResponseWriter, 1)}
}

// release lets the response be written to w. It must be called once at most.
func (d *deferredResponse) release(w http.ResponseWriter) { d.released <- w }

// Header implements http.ResponseWriter.
func (d *deferredResponse) Header() http.Header {
	if d.w != nil {
		return d.w.Header()
	}
	return d.header
}

// WriteHeader implements http.ResponseWriter. It panics with http.ErrAbortHandler if the request is cancelled before its
// turn.
func (d *deferredResponse) WriteHeader(status int) {
	if d.w == nil {
		select {
		case d.w = <-d.released:
		case <-d.ctx.Done():
			panic(http.ErrAbortHandler)
		}
		maps.Copy(d.w.Header(), d.header)
	}
	d.w.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (d *deferredResponse) Write(p []byte) (int, error) {
	if d.w == nil {
		d.WriteHeader(http.StatusOK)
	}
	return d.w.Write(p)
}

// Unwrap returns the writer of the server for http.ResponseController, or nil before the turn of the request.
func (d *deferredResponse) Unwrap() http.ResponseWriter { return d.w }

// finish writes the head of a response that the handler did not write.
func (d *deferredResponse) finish() {
	if d.w == nil {
		d.WriteHeader(http.StatusOK)
	}
}
