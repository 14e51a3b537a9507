package link

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// An upstream that is at fault may write an answer once more as the next request arrives on a kept connection. Only the id that answers
// repeat tells whose it is.

// identity is whose answer an id tells it is.
type identity int

const (
	// own answers repeat the id of the request.
	own identity = iota
	// anonymous answers have no id. On a new connection they can be to its only request alone.
	anonymous
	// foreign answers have the id of another request.
	foreign
)

// identify returns whose answer to a request a response is.
func identify(response *http.Response, r Request) identity {
	if r.IDHeader == "" {
		return own
	}
	switch response.Header.Get(r.IDHeader) {
	case "":
		return anonymous
	case r.ID:
		return own
	}
	return foreign
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
