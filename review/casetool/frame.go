package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

var errFrame = errors.New("malformed frame")

// frame encodes a RESP array of bulk strings.
func frame(parts ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(parts))
	for _, part := range parts {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(part), part)
	}
	return []byte(b.String())
}

// readFrame reads a RESP array of bulk strings.
func readFrame(r *bufio.Reader) (parts []string, err error) {
	n, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	for range n {
		size, err := readLength(r, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		parts = append(parts, string(b[:size]))
	}
	return parts, nil
}

func readLength(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != kind {
		return 0, errFrame
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 || n > 1<<20 {
		return 0, errFrame
	}
	return n, nil
}

// fieldsOf parses "name=value,name=value" or "-".
func fieldsOf(text string) map[string]string {
	fields := map[string]string{}
	for _, pair := range strings.Split(text, ",") {
		if name, value, ok := strings.Cut(pair, "="); ok {
			fields[name] = value
		}
	}
	return fields
}
