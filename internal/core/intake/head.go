package intake

// HeadScanner follows the head of a request through the blocks in which it arrives. The
// zero value expects the first byte of a head, or empty lines before it, which count.
type HeadScanner struct {
	Bytes, Lines int
	Ended        bool
	begun        bool // a line that is not empty has begun
	lineBytes    int  // of the current line
	onlyCR       bool // the current line is a CR so far
}

// Scan adds a block. Bytes after the end of the head do not count.
func (s *HeadScanner) Scan(block []byte) {
	for _, b := range block {
		if s.Ended {
			return
		}
		s.Bytes++
		if b == '\n' {
			s.endLine()
			continue
		}
		s.lineBytes++
		s.onlyCR = s.lineBytes == 1 && b == '\r'
		s.begun = s.begun || !s.onlyCR
	}
}

func (s *HeadScanner) endLine() {
	s.Lines++
	s.Ended = s.begun && (s.lineBytes == 0 || s.onlyCR)
	s.lineBytes, s.onlyCR = 0, false
}
