package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
)

// maxFailureBytes is the maximum number of bytes that are read from the answer to a failed call.
const maxFailureBytes = 1 << 10

// CallError is the error of a call to which the proxy answered with another status than 200.
type CallError struct {
	Listen string // the proxy's admin address
	Status int    // HTTP status code
	Text   string // the reason that the proxy gave
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("the proxy at %s returned an error: %s", e.Listen, e.Text)
}

// Call sends a request to the proxy at an admin address, in the form of Options.Listen, and decodes the answer into out. path
// may have a query. The method is GET if body is nil, else POST. The error is a CallError if the proxy answered with another
// status than 200.
func Call(listen, path string, body, out any) error {
	target, err := url.Parse("http://admin" + path)
	if err != nil {
		return err
	}
	response, err := send(newClient(listen), target.String(), body)
	if err != nil {
		return fmt.Errorf("calling the proxy at %s: %w", listen, errors.Unwrap(err))
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxFailureBytes))
		return &CallError{Listen: listen, Status: response.StatusCode, Text: strings.TrimSpace(string(text))}
	}
	return json.NewDecoder(response.Body).Decode(out)
}

// newClient returns an HTTP client that connects to an admin address for every request, whatever the host in the URL.
func newClient(listen string) *http.Client {
	network, addr := splitNetwork(listen)
	return &http.Client{Timeout: 2 * requestTimeout, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: requestTimeout}).DialContext(ctx, network, addr)
		},
	}}
}

func send(client *http.Client, target string, body any) (*http.Response, error) {
	if body == nil {
		return client.Get(target)
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, &url.Error{Op: "Post", URL: target, Err: err}
	}
	return client.Post(target, "application/json", bytes.NewReader(raw))
}
