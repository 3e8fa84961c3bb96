package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// proxy is one steering proxy, started by the command of the deploy file as the platform does.
type proxy struct {
	w        *world
	name     string
	listen   string // clients
	operator string // path of the operator's file
	config   string // path of the platform's configuration
	tmp      string
	console  string // of operators; empty: none
	starts   int

	cmd    *exec.Cmd
	exited chan struct{}
}

// world is what a case runs in.
type world struct {
	root   string // of the repository
	dir    string // temporary
	run    string // command of the deploy file
	prefix string // of that command: sets limits of the process, as the platform does
	rec    *record
	fleet  *fleet
	board  *board

	mu      sync.Mutex
	proxies []*proxy
}

const zoneName = "branch"

func newWorld(root string, rec *record) (*world, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if found == nil {
		return nil, errors.New("the deploy file has no run")
	}
	if _, err := os.Stat(filepath.Join(root, "bin/ravenwheel")); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, run: string(found[1]), rec: rec, fleet: newFleet(rec)}
	w.board, err = startBoard(rec)
	return w, err
}

func (w *world) close() {
	for _, p := range w.proxies {
		p.kill()
	}
	w.fleet.close()
	os.RemoveAll(w.dir)
}

// The addresses that are given to processes: of a loopback host drawn for this run, at ports below those that the system gives to
// other sockets, so that none is taken between its choice and its use.
var (
	ownHost  = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
	lastPort = 20_000 + rand.IntN(5000)
	portMu   sync.Mutex
)

// freeAddr returns a loopback address with a free port, a new one with each call.
func freeAddr() string {
	portMu.Lock()
	defer portMu.Unlock()
	for {
		lastPort++
		addr := fmt.Sprintf("%s:%d", ownHost, lastPort)
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr
		}
	}
}

// startServers starts two cache boxes and the main store.
func (w *world) startServers() error {
	return errors.Join(w.fleet.start("s-00000001", false), w.fleet.start("s-00000002", false), w.fleet.start("s-00000014", true))
}

// newProxy writes the files of a proxy. rank is its index among all proxies of the branch, of which there are count. operator has
// the parts of the operator's file.
func (w *world) newProxy(name string, rank, count int, operator map[string]any) (*proxy, error) {
	p := &proxy{
		w: w, name: name, listen: freeAddr(), operator: filepath.Join(w.dir, name+".jsonc"), config: filepath.Join(w.dir, name+".json"),
		tmp: filepath.Join(w.dir, name+"-tmp"),
	}
	second := func(n float64) int64 { return int64(n * 1e6) }
	class := func(name, effect string, target, deadline, worth, stretch float64) map[string]any {
		return map[string]any{
			"Name": name, "Effect": effect, "TargetUs": second(target), "DeadlineUs": second(deadline), "Worth": worth, "AimStretch": stretch,
			"LateValue": 0.1, "Group": "all", "Stream": false, "WindowUs": second(6),
		}
	}
	settings := map[string]any{
		"NInstances": count, "Rank": rank, "Zone": 1, "Zones": []string{"hub", zoneName}, "Kinds": []string{"box", "parent", "store"},
		"Weights": "nominal", "Workload": "edge", "Discovery": "push",
		"Bounds": map[string]any{
			"Cancel": true, "RetryAfter": true, "MostTries": 8, "MaxRetryAfterUs": second(0.5), "ConnectTimeoutUs": second(0.4),
			"ConnIdleUs": second(30), "StreamsPerConn": 32, "MostHeld": 2048, "Probing": true, "SecondCopies": true,
		},
		"Rules": map[string]any{
			"DrainGraceUs": second(2), "ColdFrom": 0.15, "FallMultiple": 3, "FallUs": second(3), "WarmWithinUs": second(18), "AnswerSlackUs": 8000,
		},
		"Grades": []any{
			class("replay", "idempotent", 0.4, 5, 2, 1.6), class("asset", "idempotent", 0.4, 2.5, 1, 2), class(writeClass, "at_most_once", 0.6, 3, 3, 0),
			class(keyedClass, "deduplicated", 0.6, 3, 3, 0),
		},
		"FamilyInfo": map[string]any{
			"SecondTierKind": 1, "RootKind": 2, "NoteLevel": "all", "PeersFill": "location", "SharesFills": false, "MayPassBy": false,
			"ZoneBalancers": []int{0, count}, "HomeHub": []int{0, 0}, "Uncached": []bool{false, false, true, true}, "InParts": []bool{true, false, false, false},
			"ClassFreshUs": []int{0, 0, 0, 0}, "StaleForUs": []int{0, 0, 0, 0}, "PurgeTakesUs": second(6), "NoticeTimeUs": second(1),
			"FlowKbPerS": 6000, "ParentColdFrom": 0.061, "ParentBreaksAt": 2, "ParentWarmsInUs": second(22),
		},
	}
	config := map[string]any{
		"name": name, "listen": p.listen, "seed": fmt.Sprintf("%016x", 1000+rank), "board": w.board.ln.Addr().String(),
		"limits":           map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
		"known": known(w.fleet, zoneName), "settings": settings,
	}
	if err := os.MkdirAll(p.tmp, 0o700); err != nil {
		return nil, err
	}
	w.proxies = append(w.proxies, p)
	return p, errors.Join(writeJSON(p.config, config), writeJSON(p.operator, operator))
}

func writeJSON(path string, v any) error {
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}

// start starts the proxy.
func (p *proxy) start() error {
	p.starts++
	log, err := os.Create(filepath.Join(p.w.dir, fmt.Sprintf("%s-%d.log", p.name, p.starts)))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", p.w.prefix+p.w.run+" serve --operator "+p.operator)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.w.root, log, log
	cmd.Env = append(os.Environ(), "LB_NAME="+p.name, "LB_LISTEN="+p.listen, "LB_CONFIG="+p.config, "LB_CONSOLE="+p.console, "TMPDIR="+p.tmp)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		p.w.rec.printf("proxy %s ended: %v", p.name, cmd.ProcessState)
		close(exited)
	}()
	p.w.rec.printf("proxy %s started, pid %d, clients at %s", p.name, cmd.Process.Pid, p.listen)
	return nil
}

func (p *proxy) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// terminate sends SIGTERM and waits until the process has ended; after 10 s it kills it.
func (p *proxy) terminate() {
	if !p.running() {
		return
	}
	p.w.rec.printf("proxy %s: SIGTERM", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(10 * time.Second):
		p.kill()
	}
}

func (p *proxy) kill() {
	if p.running() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// awaitReady waits until the proxy has answered RPC.HEALTH with yes.
func (p *proxy) awaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if !p.running() {
			return fmt.Errorf("proxy %s has ended", p.name)
		}
		c, err := dialClient(p.listen)
		if err != nil {
			continue
		}
		answer, err := c.exchange(time.Second, "RPC.HEALTH", c.nextTag(), "")
		c.conn.Close()
		if err == nil && len(answer) > 1 && answer[1] == "yes" {
			p.w.rec.printf("proxy %s is ready", p.name)
			return nil
		}
	}
	return fmt.Errorf("proxy %s is not ready after %s", p.name, timeout)
}

// command runs a command of the proxy's program for operators, and returns what it printed.
func (w *world) command(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(w.root, "bin/ravenwheel"), args...)
	cmd.Dir = w.root
	out, err := cmd.CombinedOutput()
	text := strings.TrimSpace(string(out))
	w.rec.printf("command ravenwheel %s: %s %v", strings.Join(args, " "), text, err)
	return text, err
}

// client is a client of the platform's protocol, with one request at a time.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	tag    int
}

func dialClient(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) nextTag() string {
	c.tag++
	return fmt.Sprint(c.tag)
}

func (c *client) exchange(timeout time.Duration, parts ...string) ([]string, error) {
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	if _, err := c.conn.Write(frame(parts...)); err != nil {
		return nil, err
	}
	return readFrame(c.reader)
}

// read asks for an object of the class asset. The answer's word is empty if there was none.
func (c *client) read(rid, object string) (word, body string, err error) {
	fields := fmt.Sprintf("rid=%s,budget=2000,obj=%s,nth=0,batch=%d,mem=60.5", rid, object, objectGroup)
	answer, err := c.exchange(3*time.Second, "RPC.CALL", c.nextTag(), "asset", fields, "")
	if err != nil || len(answer) < 2 {
		return "", "", err
	}
	if len(answer) > 3 {
		body = answer[3]
	}
	return answer[1], body, nil
}

// call makes a call at the console of a proxy, and returns the answer's line.
func (p *proxy) call(line string) (string, error) {
	conn, err := net.DialTimeout("tcp", p.console, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	began := nowMs()
	if _, err := fmt.Fprintln(conn, line); err != nil {
		return "", err
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	p.w.rec.printf("console of %s: %s: %s after %.0f ms %v", p.name, line, strings.TrimSpace(answer), nowMs()-began, err)
	return answer, err
}
