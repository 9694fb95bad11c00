package upstream

import (
	"bytes"
	"io"
	"regexp"

	"flamingodoor.example/flamingodoor"
)

// maxSecondHeadBytes bounds how far the identifier of a second response may be
// from the beginning of its head.
const maxSecondHeadBytes = 4 << 10

// secondHead returns a pattern for the head of a response up to its identifier.
func secondHead(idHeader string) *regexp.Regexp {
	return regexp.MustCompile(`HTTP/1\.[01] [^ \r\n]{3}[^\r\n]*\r\n(?:[^\r\n:]+:[^\r\n]*\r\n)*(?i:` + regexp.QuoteMeta(idHeader) + `):`)
}

// unframedBody is a body that ends with its connection. An endpoint in trouble may
// write a second response after the first, whose end nothing marks. A body in
// which one begins fails there.
type unframedBody struct {
	io.ReadCloser
	pattern *regexp.Regexp
	recent  []byte // last bytes read, in which a head may have begun
}

// Read reads up to the head of a second response.
func (b *unframedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	before := len(b.recent)
	b.recent = append(b.recent, data[:n]...)
	if bytes.Contains(b.recent, []byte("HTTP/1.")) {
		if found := b.pattern.FindIndex(b.recent); found != nil {
			return max(0, found[0]-before), flamingodoor.Errorf(flamingodoor.CodeProtocol, "second response in a body without a length")
		}
	}
	if excess := len(b.recent) - maxSecondHeadBytes; excess > 0 {
		b.recent = append(b.recent[:0], b.recent[excess:]...)
	}
	return n, err
}
