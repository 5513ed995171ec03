package forwarder

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const transferEncoding = "Transfer-Encoding"

// headChecker checks the lines of one head. The parser accepts heads that delimit the body in
// another way than their sender meant: it keeps names that are no names, such as "Content-Length "
// with a blank, and ignores a transfer encoding before HTTP/1.1.
type headChecker struct {
	// line is the beginning of the current line.
	line []byte
	// statusRead reports whether the status line is complete, and done whether the head is.
	statusRead bool
	done       bool
	encoded    bool
	err        error
}

func (c *headChecker) reset() {
	*c = headChecker{
		line: c.line[:0],
	}
}

// write checks the next bytes of the connection. It ignores those after the head.
func (c *headChecker) write(p []byte) {
	for !c.done {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			c.line = append(c.line, p...)
			return
		}
		if len(c.line) == 0 {
			c.checkLine(p[:i])
		} else {
			c.checkLine(append(c.line, p[:i]...))
			c.line = c.line[:0]
		}
		p = p[i+1:]
	}
}

func (c *headChecker) checkLine(line []byte) {
	line = bytes.TrimSuffix(line, []byte("\r"))
	switch {
	case !c.statusRead:
		c.statusRead = true
		return
	case len(line) == 0:
		c.done = true
		return
	case line[0] == ' ' || line[0] == '\t':
		// The line continues the value before it.
		return
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	if !httpguts.ValidHeaderFieldName(string(name)) {
		c.err = errors.CombineErrors(c.err, errors.Newf("%q is not the name of a header", name))
	}
	c.encoded = c.encoded || strings.EqualFold(string(name), transferEncoding)
}

// check returns an error if the head, which was parsed as resp, is none of an answer in HTTP/1.
func (c *headChecker) check(resp *http.Response) error {
	switch {
	case c.err != nil:
		return c.err
	case resp.ProtoMajor != 1:
		return errors.Newf("answer has version %s, want HTTP/1", resp.Proto)
	case c.encoded && !resp.ProtoAtLeast(1, 1):
		return errors.Newf("answer in %s has the header %s, which needs HTTP/1.1", resp.Proto, transferEncoding)
	case resp.StatusCode < 100 || resp.StatusCode > 599:
		return errors.Newf("answer has status %03d, want 100 to 599", resp.StatusCode)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("answer switches protocols, which the request did not ask for")
	}
	return nil
}

// checkTrailer returns an error if a name in a trailer is no name of a header.
func checkTrailer(trailer http.Header) error {
	for name := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("%q is not the name of a trailer", name)
		}
	}
	return nil
}
