package entry

import (
	"net/http"
	"strings"

	"amaranthstile/result"
)

// checkTarget refuses methods that are not served and targets that a backend server might interpret differently from
// the route lookup. The route that was found determines whether an API key is required, so it must match the path that
// the backend server sees.
func checkTarget(r *http.Request) error {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return result.New(result.MethodRefused, "%s is not served", r.Method)
	}
	if r.URL.Scheme != "" && r.URL.Scheme != "http" {
		return result.New(result.RequestInvalid, "the scheme of the request target is not http")
	}
	if !strings.HasPrefix(r.URL.Path, "/") || strings.Contains(r.RequestURI, "#") {
		return result.New(result.RequestInvalid, "the request target is not a path")
	}
	if AmbiguousPath(r.URL.Path) || hasEncodedSlash(r.URL.RawPath) {
		return result.New(result.PathAmbiguous, "the path has an empty or dot segment, an encoded slash, a backslash or a semicolon")
	}
	return nil
}

// AmbiguousPath reports whether a decoded path can be interpreted in more than one way. Requests with such a path are refused.
func AmbiguousPath(path string) bool {
	for i := range len(path) {
		if c := path[i]; c < ' ' || c == 0x7f || c == '\\' || c == ';' {
			return true
		}
	}
	if strings.Contains(path, "//") {
		return true
	}
	return strings.Contains(path, "/.") && hasDotSegment(path)
}

// hasDotSegment reports whether a path has a segment "." or "..".
func hasDotSegment(path string) bool {
	for _, segment := range strings.Split(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// hasEncodedSlash reports whether a path as it was sent contains an encoded slash.
func hasEncodedSlash(raw string) bool {
	return strings.Contains(raw, "%2f") || strings.Contains(raw, "%2F")
}
