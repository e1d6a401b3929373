// Command docs updates the command output in Markdown files: it runs the commands that a marker
// line names and replaces the fenced block below the line with their output. See README.md.
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
	// runMarker starts a line that names the commands of the block below it.
	runMarker = "<!-- run: "
	// blockFence starts and ends a block.
	blockFence = "```"
)

func main() {
	for _, file := range os.Args[1:] {
		if err := updateFile(file); err != nil {
			fmt.Fprintf(os.Stderr, "docs: %s: %v\n", file, err)
			os.Exit(1)
		}
	}
}

// updateFile replaces the content of every marked block of a file.
func updateFile(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	var out bytes.Buffer
	replacing, inBlock := false, false
	for line := range strings.Lines(string(text)) {
		switch {
		case strings.HasPrefix(line, runMarker):
			commands := strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(line), runMarker), " -->")
			out.WriteString(line + blockFence + "text\n" + runCommands(commands) + blockFence + "\n")
			replacing = true
		case replacing && strings.HasPrefix(line, blockFence):
			replacing = !inBlock
			inBlock = !inBlock
		case replacing:
		default:
			out.WriteString(line)
		}
	}
	if replacing {
		return errors.New("marked block has no closing fence")
	}
	return errors.Wrap(os.WriteFile(file, out.Bytes(), 0o644), "write")
}

// runCommands runs commands separated by semicolons, with empty standard input. It returns each
// command line followed by the output and the error output of the command.
func runCommands(commands string) string {
	var out bytes.Buffer
	for command := range strings.SplitSeq(commands, ";") {
		words := strings.Fields(command)
		fmt.Fprintf(&out, "$ %s\n", strings.Join(words, " "))
		env := verb.Env{In: strings.NewReader(""), Out: &out, Err: &out}
		verb.Main(context.Background(), env, words[1:])
	}
	return out.String()
}
