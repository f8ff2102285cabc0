package beechscenario

import (
	"bufio"
	"bytes"
	be "encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// badInput is the input of a faulty or hostile client to an entry host.
type badInput struct {
	head string // additional header lines
	body []byte
	// announced is the Content-Length; 0 means the length of the body. A larger
	// value simulates a client that never sends the rest.
	announced int
	raw       []byte // written unchanged instead of a request
}

const (
	largeBody    = 2 << 20 // entry hosts of the scenarios accept 1 MiB
	largeHeader  = 64 << 10
	noiseBytes   = 8 << 10
	linkPreamble = "BEECHLNK"
)

// badInputs maps the names that scripts use to inputs.
var badInputs = map[string]badInput{
	"malformed":  {body: []byte(`{"model":"fit-advisor","messages":[`)},
	"wrongtype":  {body: []byte(`{"model":7,"messages":"none"}`)},
	"utf8":       {body: []byte("{\"model\":\"fit-advisor\",\"messages\":[{\"role\":\"user\",\"content\":\"\xff\xfe\"}]}")},
	"large":      {body: bytes.Repeat([]byte("a"), largeBody)},
	"slow":       {body: []byte(`{"model":`), announced: 1000},
	"deep":       {body: []byte(`{"model":"fit-advisor","messages":` + strings.Repeat("[", 50000))},
	"nokey":      {head: "Authorization: Bearer \r\n", body: []byte(`{}`)},
	"badkey":     {head: "Authorization: Bearer nobody\r\n", body: []byte(`{}`)},
	"badtimeout": {head: "X-Request-Timeout-Ms: soon\r\n", body: []byte(`{"model":"fit-advisor","messages":[{"role":"user","content":"a"}]}`)},
	"header":     {head: "X-Filler: " + strings.Repeat("a", largeHeader) + "\r\n", body: []byte(`{}`)},
	"nothttp":    {raw: []byte("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n")},
}

// commandWire implements wire ENTRY KIND status=N [code=C] [ran=R]: writes a bad
// input to an entry host's socket and checks the response.
func commandWire(d *deployment, arguments []string) error {
	plain, named := parseArguments(arguments)
	if len(plain) != 2 {
		return usage("wire ENTRY KIND status=N [code=C] [ran=R]")
	}
	p, err := d.process(plain[0])
	if err != nil {
		return err
	}
	input, known := badInputs[plain[1]]
	if !known {
		return fmt.Errorf("unknown bad input %q", plain[1])
	}
	conn, err := net.Dial("tcp", p.address.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(conditionTimeout))
	go func() { _, _ = conn.Write(input.bytes()) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return fmt.Errorf("%s: no response: %w", plain[1], err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return checkAnswer(named, response.StatusCode, body)
}

func (b badInput) bytes() []byte {
	if b.raw != nil {
		return b.raw
	}
	if !strings.Contains(b.head, "Authorization") {
		b.head += "Authorization: Bearer loop-key\r\n"
	}
	announced := max(b.announced, len(b.body))
	head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n%sContent-Length: %d\r\n\r\n", b.head, announced)
	return append([]byte(head), b.body...)
}

func checkAnswer(want values, status int, body []byte) error {
	var got chunk
	_ = json.Unmarshal(body, &got)
	seen := values{"status": fmt.Sprint(status)}
	if got.Error != nil {
		seen["code"] = got.Error.Code
		seen["ran"] = got.Error.Ran
	}
	for name, value := range want {
		if seen[name] != value {
			return fmt.Errorf("%s is %q, want %q: %d %.200s", name, seen[name], value, status, body)
		}
	}
	return nil
}

// commandNoise implements noise PROCESS [seed=N] [count=N]: opens connections to an
// agent's link port or an entry host's port and writes random bytes. Some start
// with the correct link preamble, some also with a frame length, which may be
// wrong.
func commandNoise(d *deployment, arguments []string) error {
	plain, named := parseArguments(arguments)
	if len(plain) != 1 {
		return usage("noise PROCESS [seed=N] [count=N]")
	}
	p, err := d.process(plain[0])
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(uint64(named.number("seed", 1)), 0))
	for i := range named.number("count", 20) {
		if err := writeNoise(p, noise(random, i)); err != nil {
			return err
		}
	}
	return nil
}

func noise(random *rand.Rand, kind int) []byte {
	junk := make([]byte, random.IntN(noiseBytes))
	for i := range junk {
		junk[i] = byte(random.Uint32())
	}
	switch kind % 4 {
	case 0:
		return junk
	case 1:
		return append([]byte(linkPreamble), junk...)
	case 2:
		length := be.BigEndian.AppendUint32([]byte(linkPreamble), random.Uint32())
		return append(length, junk...)
	default:
		length := be.BigEndian.AppendUint32([]byte(linkPreamble), uint32(len(junk)))
		return append(length, junk...)
	}
}

// writeNoise writes the data and reads until the process closes the connection, or
// for one second, as a process may wait for the rest of an incomplete message.
func writeNoise(p *process, data []byte) error {
	conn, err := net.Dial("tcp", p.address.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = conn.Write(data)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, conn)
	return nil
}
