// Command docs puts the real output of commands into Markdown files.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/apricotwind/apricotwind/internal/verb"
	"github.com/cockroachdb/errors"
)

const (
	marker = "<!-- run: "
	fence  = "```"
)

func main() {
	for _, file := range os.Args[1:] {
		if err := refresh(file); err != nil {
			fmt.Fprintf(os.Stderr, "docs: %s: %v\n", file, err)
			os.Exit(1)
		}
	}
}

// refresh fills every marked block of a file.
func refresh(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	var out bytes.Buffer
	skipping, inside := false, false
	for line := range strings.Lines(string(text)) {
		switch {
		case strings.HasPrefix(line, marker):
			commands := strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(line), marker), " -->")
			out.WriteString(line + fence + "text\n" + run(commands) + fence + "\n")
			skipping = true
		case skipping && strings.HasPrefix(line, fence):
			skipping = !inside
			inside = !inside
		case skipping:
		default:
			out.WriteString(line)
		}
	}
	if skipping {
		return errors.New("a marked block does not end")
	}
	return errors.Wrap(os.WriteFile(file, out.Bytes(), 0o644), "write")
}

// run shows each command with what it prints.
func run(commands string) string {
	var out bytes.Buffer
	for command := range strings.SplitSeq(commands, ";") {
		words := strings.Fields(command)
		fmt.Fprintf(&out, "$ %s\n", strings.Join(words, " "))
		streams := verb.Env{In: strings.NewReader(""), Out: &out, Err: &out}
		verb.Main(context.Background(), streams, words[1:])
	}
	return out.String()
}
