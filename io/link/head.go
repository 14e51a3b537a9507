package link

import "io"

// headReader bounds the bytes that are read while the head of an answer is parsed. The parser itself has no bound.
//
//	source.begin()
//	response, err := http.ReadResponse(bufio.NewReader(source), request)
//	source.end()
type headReader struct {
	io.Reader
	inHead bool
	// left is the number of bytes that may still be read in the head.
	left int
}

// begin starts a head of at most maxHead bytes.
func (h *headReader) begin() { h.inHead, h.left = true, maxHead }

// end ends the head; what follows has no bound here.
func (h *headReader) end() { h.inHead = false }

// Read implements [io.Reader].
func (h *headReader) Read(b []byte) (n int, err error) {
	if !h.inHead {
		return h.Reader.Read(b)
	}
	if h.left == 0 {
		return 0, errLongHead
	}
	n, err = h.Reader.Read(b[:min(len(b), h.left)])
	h.left -= n
	return n, err
}
