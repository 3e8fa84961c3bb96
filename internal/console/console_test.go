package console

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/policy"
)

// desk notes what it is asked, and turns down server 9.
type desk struct {
	mu    sync.Mutex
	calls []string
	ready bool
}

func (d *desk) note(s string) { d.mu.Lock(); d.calls = append(d.calls, s); d.mu.Unlock() }

func (d *desk) Status() (string, bool) { return "serving", d.ready }

func (d *desk) SetServerDrained(id policy.CacheID, out bool) error {
	if id == 9 {
		return errors.New("no such cache server")
	}
	d.note(map[bool]string{true: "out", false: "in"}[out])
	return nil
}

func (d *desk) SetDraining(on bool) error {
	d.note(map[bool]string{true: "pause", false: "resume"}[on])
	return nil
}

func start(t *testing.T, d *desk) *Console {
	c, err := Listen("127.0.0.1:0", d, nil)
	require.NoError(t, err)
	go c.Serve()
	t.Cleanup(c.Close)
	return c
}

func dial(t *testing.T, c *Console) *net.TCPConn {
	nc, err := net.Dial("tcp", c.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { nc.Close() })
	return nc.(*net.TCPConn)
}

func ask(t *testing.T, c *Console, text string) string {
	nc := dial(t, c)
	_, _ = nc.Write([]byte(text)) // a line too long is answered before it has all been sent
	_ = nc.CloseWrite()           // the answer, and the close behind it, may have come already
	answer, _ := io.ReadAll(nc)
	return string(answer)
}

// Each line gets one answer line and the close; nothing but a call that is known is carried out.
func TestCalls(t *testing.T) {
	d := &desk{ready: true}
	c := start(t, d)
	for line, want := range map[string]string{
		"STATUS\n": "SUCCESS serving\n", "STATUS\r\n": "SUCCESS serving\n", "STATUS": "SUCCESS serving\n",
		"SUSPEND s-00000001\n": "SUCCESS\n", "RESTORE s-00000001\n": "SUCCESS\n", "PAUSE\n": "SUCCESS\n", "RESUME\n": "SUCCESS\n",
		"SUSPEND s-00000009\n": "FAILURE no such cache server\n", "SUSPEND\n": "FAILURE no such cache server\n",
		"SUSPEND x\n": "FAILURE no such cache server\n", "SUSPEND s-00000001 s-00000002\n": "FAILURE no such cache server\n",
		"PAUSE now\n": "FAILURE unknown call\n", "status\n": "FAILURE unknown call\n", "\n": "FAILURE unknown call\n",
		"STATUS\nPAUSE\n": "SUCCESS serving\n", "\x00\xff\xfe\n": "FAILURE unknown call\n",
		strings.Repeat("x", 5000): "FAILURE unknown call\n", "": "",
	} {
		got := ask(t, c, line)
		if len(line) > mostLine && got == "" {
			continue // the rest of it was under way when the answer was: a reset may take the answer along
		}
		require.Equal(t, want, got, "%q", line)
	}
	require.ElementsMatch(t, []string{"out", "in", "pause", "resume"}, d.calls)
	d.ready = false
	require.Equal(t, "FAILURE serving\n", ask(t, c, "STATUS\n"))
}

// Callers that connect and finish no call, many more than are held, keep nobody from an answer.
func TestUnfinished(t *testing.T) {
	c := start(t, &desk{ready: true})
	for i := range 3 * mostHeld {
		nc := dial(t, c)
		if i%2 == 0 {
			_, err := nc.Write([]byte("STAT"))
			require.NoError(t, err)
		}
	}
	for range mostHeld {
		require.Equal(t, "SUCCESS serving\n", ask(t, c, "STATUS\n"))
	}
	c.mu.Lock()
	held := len(c.held)
	c.mu.Unlock()
	require.LessOrEqual(t, held, mostHeld)
	last := dial(t, c)
	require.NoError(t, last.SetReadDeadline(time.Now().Add(time.Minute)))
	text, err := io.ReadAll(last)
	require.NoError(t, err, "one that says nothing is closed")
	require.Empty(t, text)
}

// Many calls at once are all answered.
func TestMany(t *testing.T) {
	c := start(t, &desk{ready: true})
	var wait sync.WaitGroup
	for range mostHeld / 2 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for range 20 {
				if got := ask(t, c, "SUSPEND s-00000001\n"); got != "SUCCESS\n" {
					t.Errorf("got %q", got)
				}
			}
		}()
	}
	wait.Wait()
}

// What comes behind a line is dropped, and the answer is not: a close over it would reset the connection.
func TestMoreThanALine(t *testing.T) {
	c := start(t, &desk{ready: true})
	for range 20 {
		nc := dial(t, c)
		_, err := nc.Write([]byte("STATUS\n" + strings.Repeat("STATUS\n", 30_000)))
		require.NoError(t, err)
		require.NoError(t, nc.CloseWrite())
		answer, err := io.ReadAll(nc)
		require.NoError(t, err, "no reset")
		require.Equal(t, "SUCCESS serving\n", string(answer))
	}
}
