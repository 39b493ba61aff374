package exit_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"amaranthstile/link"
	"amaranthstile/result"
)

// TestResponseWithAMalformedFieldNameIsNoResponse lets a backend server send heads in which the name of a field has a byte that
// no name can have. The client must get neither the field nor a body that such a field frames.
func TestResponseWithAMalformedFieldNameIsNoResponse(t *testing.T) {
	const ok, framed, body = "HTTP/1.1 200 OK\r\n", "Content-Length: 5\r\n\r\nhello", "Connection: close\r\n\r\nhello"
	responses := map[string]string{
		"blank before the length's colon":   ok + "Content-Length : 5\r\n" + body + "more",
		"blank before the encoding's colon": ok + "Transfer-Encoding : chunked\r\nConnection: close\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"length on a continued line":        ok + "X-A: b\r\n Content-Length: 5\r\n" + body + "more",
		"refusal":                           "HTTP/1.1 503 X\r\n" + headerRefused + ": 1\r\nX A: b\r\n" + framed,
		"informational response":            "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + ok + framed,
		"continued informational response":  "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n Y: b\r\n\r\n" + ok + framed,
		"no body":                           "HTTP/1.1 204 No Content\r\nX A: b\r\n\r\n",
		"last line":                         ok + "Content-Length: 5\r\nX A: b\r\n\r\nhello",
	}
	for name, b := range map[string]string{
		"blank": " ", "tab": "\t", "NUL": "\x00", "control byte": "\x01", "carriage return": "\r", "vertical tab": "\v", "delete": "\x7f",
		"high byte": "\x80", "quote": `"`,
	} {
		responses[name+" in a name"] = ok + "X-A" + b + "B: c\r\n" + framed
		responses[name+" before a name"] = ok + "X-A: b\r\n" + b + "X-B: c\r\n" + framed
		responses[name+" before the first name"] = ok + b + "X-B: c\r\n" + framed
		responses[name+" behind a name"] = ok + "X-A" + b + ": c\r\n" + framed
		responses["only a "+name] = ok + "X-A: b\r\n" + b + ": c\r\n" + framed
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp, err := sendOverLink(t, startExit(t, startCutServer(t, response)), "/"+strconv.Itoa(len(response)))
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			err = link.ReadError(resp.Header)
			is.Equal(result.CodeOf(err), result.BackendAborted)
			is.Equal(result.RunOf(err), result.MayHaveRun)
		})
	}
}

// TestResponseWithUnusualFieldsIsPassedOn guards against a check that refuses what is HTTP.
func TestResponseWithUnusualFieldsIsPassedOn(t *testing.T) {
	const name = "X!#$%&'*+-.^_`|~09"
	for head, value := range map[string]string{
		name + ":\t a \x80:b \t":        "a \x80:b",
		name + ":":                      "",
		name + ":a\r\nConnection:close": "a",
	} {
		t.Run(strconv.Quote(head), func(t *testing.T) {
			is := is.New(t)
			for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"} {
				response := interim + "HTTP/1.1 200 OK\r\n" + head + "\r\n\r\nbody with : and \n lines"
				resp, err := sendOverLink(t, startExit(t, startCutServer(t, response)), "/"+strconv.Itoa(len(response)))
				is.NoErr(err)
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				is.Equal(resp.Header.Get(name), value)
				is.Equal(string(body), "body with : and \n lines")
			}
		})
	}
}

// TestTrailerWithAMalformedNameBreaksTheResponse guards against a response that is passed on as whole without such a trailer, or
// with it.
func TestTrailerWithAMalformedNameBreaksTheResponse(t *testing.T) {
	for name, trailer := range map[string]string{
		"blank":        "X A: b\r\n",
		"blank behind": "X-A : b\r\n",
		"second":       "X-A: b\r\nX B: c\r\n",
		"control byte": "X\x01A: b\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, chunk := range []string{"5\r\nhello\r\n", "20000\r\n" + strings.Repeat("x", 0x20000) + "\r\n"} {
				response := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n" + trailer + "\r\n"
				resp, err := sendOverLink(t, startExit(t, startCutServer(t, response)), "/"+strconv.Itoa(len(response)))
				if err == nil {
					_, err = io.ReadAll(resp.Body)
					_ = resp.Body.Close()
				}
				is.True(err != nil) // the link is broken, as the head was passed on
			}
		})
	}
}
