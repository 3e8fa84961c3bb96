package scenario

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// HTTPClient is an HTTP client. A script sends "METHOD PATH [NAME:VALUE...] [BODY]" with it, with + for a space in the values of
// headers. It receives "STATUS RETRY BODY", where RETRY is Retry-After:SECONDS, or "-" if the answer has no such header.
type HTTPClient struct {
	base   string
	inbox  inbox
	closed chan struct{}
}

// NewHTTPClient returns a client of the server at a base URL.
func NewHTTPClient(base string) *HTTPClient {
	return &HTTPClient{base, newInbox(), make(chan struct{})}
}

// Send implements Actor. It does not wait for the answer.
func (c *HTTPClient) Send(words []string) error {
	request, err := c.newRequest(words)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(request.Context())
	go func() { <-c.closed; cancel() }()
	go func() { c.inbox <- message{words: roundTrip(request.WithContext(ctx))} }()
	return nil
}

func (c *HTTPClient) newRequest(words []string) (*http.Request, error) {
	var body string
	headers := http.Header{}
	for _, word := range words[2:] {
		if name, value, ok := strings.Cut(word, ":"); ok {
			headers.Set(name, strings.ReplaceAll(value, "+", " "))
		} else {
			body = word
		}
	}
	request, err := http.NewRequest(words[0], c.base+words[1], bytes.NewBufferString(body))
	if err != nil {
		return nil, err
	}
	request.Header = headers
	return request, nil
}

// roundTrip sends a request and returns the answer as words.
func roundTrip(request *http.Request) []string {
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return []string{"closed"}
	}
	defer answer.Body.Close()
	body, _ := io.ReadAll(answer.Body)
	retryAfter := "-"
	if seconds := answer.Header.Get("Retry-After"); seconds != "" {
		retryAfter = "Retry-After:" + seconds
	}
	return append([]string{fmt.Sprint(answer.StatusCode), retryAfter}, strings.Fields(string(body))...)
}

// Receive implements Actor.
func (c *HTTPClient) Receive() ([]string, error) {
	m, err := c.inbox.next()
	return m.words, err
}

// Close cancels the open requests.
func (c *HTTPClient) Close() error {
	close(c.closed)
	return nil
}
