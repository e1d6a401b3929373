package budget

//go:generate stringer -type=Reason -linecomment

// Reason is why a connection was closed or a request was refused.
type Reason int

// Reasons. Their texts are names of metrics.
const (
	TooManyConnections Reason = iota // connections-full
	HeadTooLarge                     // head-too-large
	HeadsFull                        // heads-full
	BodiesFull                       // bodies-full
	BodySlow                         // body-slow
	AnswerUnread                     // answer-unread
	TooManyLinks                     // links-full
	MessageTooLarge                  // message-too-large
	MessagesFull                     // messages-full
	MessageSlow                      // message-slow
	AcceptFailed                     // accept-failed
)
