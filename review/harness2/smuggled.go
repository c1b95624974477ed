package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"time"
)

func init() { plays["smuggled"] = smuggled }

// smuggled sends requests whose bodies hold the text of another request. With the disruption, the line of the header that states
// the length of the body has a space before its colon.
func smuggled(d *deployment, trouble bool) (bool, error) {
	const host = "nony93.example"
	c := newConfig(3, 0, []string{"return-desk"}, route{"r-1", host, "/puba11/", "unsafe", 1200, 2, "return-desk"})
	if err := d.put(c); err != nil {
		return false, err
	}
	if err := d.addServers("return-desk", 3, 5*time.Millisecond); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	lengthField := "Content-Length"
	if trouble {
		lengthField = "Content-Length "
	}
	sent := make(map[string]string) // bodies, by id
	ordinary, successes, surplus := 0, 0, 0
	for i := range 60 {
		n := d.nodes[i%len(d.nodes)]
		id := newID()
		sent[id] = "an ordinary body"
		a, err := d.send(n, http.MethodPost, "/puba11/wu5", host, id, 2000, sent[id])
		d.record.printf("client sends %s to %s: %d %v", id, n.name, a.status, err)
		ordinary++
		if err == nil && a.status == http.StatusOK {
			successes++
		}
		// The inner request is part of a document that the client sends. No client sends its id.
		inner := request(http.MethodPost, "/puba11/wu6", host, fmt.Sprintf("inner%04d", i), 2000, "")
		id = newID()
		sent[id] = inner
		answers, err := d.sendWithLength(n, lengthField, "/puba11/wu5", host, id, inner)
		d.record.printf("client sends %s to %s with a body of %d bytes: %d responses %v", id, n.name, len(inner), len(answers), err)
		for k, a := range answers {
			d.record.printf("client gets response %d on that connection: %d for %q, digest %q", k+1, a.status, a.id, a.digest)
			if k > 0 && a.status/100 == 2 {
				surplus++
			}
		}
	}
	foreign, changed := 0, 0
	for _, x := range d.allRuns() {
		body, known := sent[x.id]
		switch {
		case !known:
			foreign++
			d.record.printf("UNASKED: %s ran %s, which no client sent", x.server, x.id)
		case body != x.body:
			changed++
			d.record.printf("UNASKED: %s ran %s with another body of %d bytes", x.server, x.id, len(x.body))
		}
	}
	d.record.result("ordinary requests %d, answered with success %d; runs of requests that no client sent %d, with another body %d; successes with no request waiting %d",
		ordinary, successes, foreign, changed, surplus)
	if successes < ordinary/2 {
		return false, fmt.Errorf("only %d of %d ordinary requests were answered with success", successes, ordinary)
	}
	return foreign > 0 || changed > 0 || surplus > 0, nil
}

// sendWithLength sends one request whose header states the length of its body in a field of the given name. It returns all
// responses on the connection.
func (d *deployment) sendWithLength(n *node, lengthField, target, host, id, body string) ([]answer, error) {
	conn, err := d.dialFront(n)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(500 * time.Millisecond))
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 2000\r\n%s: %d\r\n\r\n%s",
		target, host, headerID, id, headerDeadline, lengthField, len(body), body)
	if _, err := io.WriteString(conn, text); err != nil {
		return nil, err
	}
	var answers []answer
	in := bufio.NewReader(conn)
	for {
		a, err := readAnswer(in)
		if err != nil {
			return answers, nil // the time has passed, or the connection has ended
		}
		answers = append(answers, a)
	}
}
