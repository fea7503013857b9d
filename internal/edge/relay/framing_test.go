package relay

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against whole answers that count as broken because they have no length, and against unmarked ones that
// count as whole.
func TestFramingOfAnswers(t *testing.T) {
	chunked := []string{"chunked"}
	for _, c := range []struct {
		name   string
		method string
		answer http.Response
		want   BodyFraming
	}{
		{"HEAD", http.MethodHead, http.Response{StatusCode: 200, ProtoMajor: 1, ContentLength: -1}, NoBody},
		{"HEAD with a length", http.MethodHead, http.Response{StatusCode: 200, ProtoMajor: 1, ContentLength: 7}, NoBody},
		{"204", http.MethodPost, http.Response{StatusCode: 204, ProtoMajor: 1, ContentLength: -1}, NoBody},
		{"304", http.MethodGet, http.Response{StatusCode: 304, ProtoMajor: 1, ContentLength: -1}, NoBody},
		{"HTTP/2", http.MethodPost, http.Response{StatusCode: 200, ProtoMajor: 2, ContentLength: -1}, Chunks},
		{"chunks", http.MethodPost, http.Response{StatusCode: 200, ProtoMajor: 1, ContentLength: -1, TransferEncoding: chunked}, Chunks},
		{"length", http.MethodPost, http.Response{StatusCode: 200, ProtoMajor: 1, ContentLength: 7}, Length},
		{"empty body", http.MethodPost, http.Response{StatusCode: 200, ProtoMajor: 1}, Length},
		{"neither", http.MethodPost, http.Response{StatusCode: 200, ProtoMajor: 1, ContentLength: -1}, Unmarked},
	} {
		if diff := cmp.Diff(c.want, framingOf(&c.answer, c.method)); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}
