package link

import (
	"io"
	"net/http"
	"regexp"

	"github.com/cockroachdb/errors"
)

// An upstream that is at fault may write an answer once more as the next request arrives on a kept connection. Only the id that answers
// repeat identifies it.

// errJoined means that an upstream broke an answer off within its head and went on with another one.
var errJoined = errors.New("head of an answer goes on within another one")

// identity is whose answer it is, by its id.
type identity int

const (
	// own answers repeat the id of the request.
	own identity = iota
	// anonymous answers have no id. On a new connection they can be to its only request alone.
	anonymous
	// foreign answers have the id of another request.
	foreign
	// ambiguous answers have several ids.
	ambiguous
)

// identify returns whose answer to a request a response is.
func identify(response *http.Response, r Request) (i identity) {
	if r.IDHeader == "" {
		return own
	}
	ids := response.Header.Values(r.IDHeader)
	for _, id := range ids {
		switch {
		case id != ids[0]:
			return ambiguous
		case id == "":
			i = anonymous
		case id != r.ID:
			i = foreign
		}
	}
	if len(ids) == 0 {
		return anonymous
	}
	return i
}

// statusLine matches the start of an answer.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)

// isJoined reports whether the head of an answer begins within that of a response.
func isJoined(response *http.Response) bool {
	if statusLine.MatchString(response.Status) {
		return true
	}
	for _, values := range response.Header {
		for _, value := range values {
			if statusLine.MatchString(value) {
				return true
			}
		}
	}
	return false
}

// discard reads the rest of an answer that belongs to no request. What follows it can't be found if its body has no end of its own.
func discard(response *http.Response) (err error) {
	if framing(response) == ByConnection {
		return errors.New("answer to another request has no length")
	}
	if _, err = io.CopyN(io.Discard, response.Body, maxDrained); errors.Is(err, io.EOF) {
		return nil
	}
	return errors.CombineErrors(errors.New("answer to another request is too long to discard"), err)
}
