package main

import (
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/owner"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

// echoServer serves connections that get back what they send, and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// shownAddress returns the owner's address that reader finds in a row with the given value.
func shownAddress(t *testing.T, l *linkProxies, reader, value string) string {
	t.Helper()
	row := l.show(reader, table.Record{RowKey: table.RowKey{Table: owner.TableName}, Value: []byte(value), Revision: 3})
	var shown struct {
		Address string `json:"address"`
		Later   int    `json:"later"`
	}
	if err := json.Unmarshal(row.Value, &shown); err != nil {
		t.Fatal(err)
	}
	if shown.Later != 5 {
		t.Errorf("a field is lost: %s", row.Value)
	}
	return shown.Address
}

// answers reports whether something that is sent to the address comes back.
func answers(t *testing.T, address string) bool {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(300 * time.Millisecond)) // an open connection takes one
	if _, err := conn.Write([]byte("x")); err != nil {
		return false
	}
	_, err = io.ReadFull(conn, make([]byte, 1))
	return err == nil
}

// A process that is cut off reaches no owner, and nobody reaches it. Other links go on.
func TestACutEndsTheLinksOfOneProcess(t *testing.T) {
	l := newLinkProxies(t.Context())
	target := echoServer(t)
	holder := `{"epoch":1,"name":"e0","address":"` + target + `","later":5}`
	fromW0, fromW1 := shownAddress(t, l, "aw0", holder), shownAddress(t, l, "aw1", holder)
	if fromW0 == target || fromW0 == fromW1 {
		t.Fatalf("addresses %s and %s of %s", fromW0, fromW1, target)
	}
	if again := shownAddress(t, l, "aw0", holder); again != fromW0 {
		t.Errorf("the address changes from %s to %s", fromW0, again)
	}
	if own := shownAddress(t, l, "e0", holder); own != target {
		t.Errorf("the owner finds %s in its own row", own)
	}
	l.setCut("aw0", true)
	if answers(t, fromW0) || !answers(t, fromW1) {
		t.Error("the cut of aw0 does not end its link, or ends that of aw1")
	}
	l.setCut("e0", true)
	if answers(t, fromW1) || answers(t, shownAddress(t, l, "aw2", holder)) {
		t.Error("the cut of e0 does not end the links to it")
	}
	l.setCut("aw0", false)
	if answers(t, fromW0) {
		t.Error("the link of aw0 is back while e0 is cut off")
	}
	l.setCut("e0", false)
	if !answers(t, fromW0) || !answers(t, fromW1) {
		t.Error("a link is not back")
	}
}
