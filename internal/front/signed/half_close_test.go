package signed_test

import (
	"fmt"
	"io"
	"net"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/scenario"
)

// Guards against a 200 for a claim that never ran, to a client that has closed its sending side and reads on.
func TestClientThatClosesItsSendingSideGetsNoAnswer(t *testing.T) {
	const claims = 20
	for _, request := range []string{
		"POST /seat-claim/" + object + " HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Length: 5\r\n\r\nseat9",
		"GET /asset/" + object + "?URISigningPackage=%[2]s HTTP/1.1\r\nHost: %[1]s\r\n\r\n",
	} {
		for range claims {
			f := startFront(t, frontSetup{settings: scenario.Settings()})
			token := f.signer.insertTokens("{write}")
			if request[0] == 'G' {
				token = f.signer.insertTokens("{good}")
			}
			base, err := url.Parse(f.signer.base)
			require.NoError(t, err)
			conn, err := net.Dial("tcp", base.Host)
			require.NoError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, request, base.Host, token)
			require.NoError(t, err)
			require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
			answer, _ := io.ReadAll(conn)
			require.Empty(t, string(answer))
		}
	}
}
