package budget

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MessageTimeout bounds how long a message of a link may take from its first byte to its end.
	MessageTimeout = 10 * time.Second
	// maxCalls bounds the calls of one link that are served at a time.
	maxCalls = 1024
)

// Link is what one accepted link uses. A nil Link has no bounds.
type Link struct {
	budget *Budget
	calls  chan struct{}
	bytes  int64 // of the message that is being received
	held   int64
}

// Link returns the budget of a link.
func (b *Budget) Link() *Link {
	return &Link{budget: b, calls: make(chan struct{}, maxCalls)}
}

// Receive counts bytes of a message that is not complete. The error ends the link.
func (l *Link) Receive(n int) error {
	l.bytes += int64(n)
	more := (l.bytes-freeMessage)*messageCost - l.held
	if more <= 0 {
		return nil
	}
	if l.held+more > l.budget.messages.capacity/2 {
		l.budget.note(MessageTooLarge)
		return errors.New("a message is too large")
	}
	if ok, _ := l.budget.messages.take(more, 0); !ok {
		l.budget.note(MessagesFull)
		return errExceeded
	}
	l.held += more
	return nil
}

// Late counts a message that did not end in time.
func (l *Link) Late() { l.budget.note(MessageSlow) }

// Received ends a message.
func (l *Link) Received() {
	l.budget.messages.release(l.held)
	l.bytes, l.held = 0, 0
}

// BeginCall takes memory for a call with parameters of n bytes. The caller calls release when the
// call has been served; ok is false if there is none, and then the link ends.
func (l *Link) BeginCall(n int) (release func(), ok bool) {
	select {
	case l.calls <- struct{}{}:
	default:
		l.budget.note(MessagesFull)
		return nil, false
	}
	cost := int64(n) + callCost
	if ok, _ := l.budget.messages.take(cost, 0); !ok {
		<-l.calls
		l.budget.note(MessagesFull)
		return nil, false
	}
	return func() {
		l.budget.messages.release(cost)
		<-l.calls
	}, true
}
