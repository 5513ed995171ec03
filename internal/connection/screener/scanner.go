package screener

import "bytes"

// scanner finds the end of a head in a stream of bytes, as net/http does: an empty line ends it,
// and a line ends with LF or CR LF. The zero value is at the beginning of a line.
type scanner struct {
	// inLine reports that the current line has bytes. afterCR reports that its only byte is CR.
	inLine  bool
	afterCR bool
	// bytes and lines count what belongs to heads.
	bytes int
	lines int
}

// scan reads the next bytes of the stream. It returns the number of bytes up to the end of the
// head, or -1 if the head does not end in p. Bytes after the end are not counted.
func (s *scanner) scan(p []byte) int {
	rest := p
	for len(rest) > 0 {
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			s.afterCR = !s.inLine && len(rest) == 1 && rest[0] == '\r'
			s.inLine = true
			s.bytes += len(rest)
			return -1
		}
		empty := s.endsHead(rest[:end])
		s.bytes += end + 1
		s.lines++
		s.inLine, s.afterCR = false, false
		rest = rest[end+1:]
		if empty {
			return len(p) - len(rest)
		}
	}
	return -1
}

// endsHead reports whether the current line is empty. part is the last part of the line, without
// its LF.
func (s *scanner) endsHead(part []byte) bool {
	if s.inLine {
		return s.afterCR && len(part) == 0
	}
	return len(part) == 0 || (len(part) == 1 && part[0] == '\r')
}
