package intake

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func scan(text string, block int) HeadScanner {
	var s HeadScanner
	for len(text) > 0 {
		n := min(block, len(text))
		s.Scan([]byte(text[:n]))
		text = text[n:]
	}
	return s
}

// Guards against a head whose lines or end are missed because of the blocks in which it
// arrives, and against empty lines before it that are not counted.
func TestHeadIsCounted(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: h\n\r\n"
	for block := 1; block < 40; block++ {
		s := scan(head+"body\n", block)
		must.True(t, s.Ended)
		must.EqOp(t, len(head), s.Bytes)
		must.EqOp(t, 3, s.Lines)
		s = scan(strings.Repeat("\r\n", 100)+head, block)
		must.True(t, s.Ended)
		must.EqOp(t, 200+len(head), s.Bytes)
	}
}

// Guards against a head that the parser reads further than it is counted.
func FuzzHeadEndsWhereTheParserEnds(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: h\r\n\r\nrest", 3)
	f.Add("POST /a HTTP/1.1\nHost: h\na:\n a\n\r\n\r\n", 1)
	f.Add("\r\n\r\nGET / HTTP/1.0\r\r\n\r\n", 5)
	f.Fuzz(func(t *testing.T, text string, block int) {
		s := scan(text, max(1, block))
		if s.Bytes > len(text) || s.Lines > strings.Count(text, "\n") {
			t.Fatalf("%d bytes and %d lines counted in %q", s.Bytes, s.Lines, text)
		}
		source := bytes.NewReader([]byte(text))
		reader := bufio.NewReader(io.LimitReader(source, int64(len(text))))
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		read := len(text) - source.Len() - reader.Buffered()
		if !s.Ended || s.Bytes != read {
			t.Fatalf("%d bytes counted, ended %v, the parser has read %d of %q", s.Bytes, s.Ended, read, text)
		}
	})
}
