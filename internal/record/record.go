// Package record holds the rows that the system keeps in the platform's table.
package record

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Prefixes and keys of the rows.
const (
	ConfigKey         = "config"
	HistoryPrefix     = "history/"
	EntryPrefix       = "entry/"
	ShardsKey         = "shards"
	ShardPrefix       = "shard/"
	EpochPrefix       = "epoch/"
	JobPrefix         = "job/"
	ChunkPrefix       = "chunk/"
	EndedPrefix       = "ended/"
	InboxPrefix       = "inbox/"
	IdempotencyPrefix = "key/"
	LedgerPrefix      = "ledger/"
)

// Config is the row of the document in force. Commit makes each write unique.
type Config struct {
	Version uint64    `json:"version"`
	Text    string    `json:"text"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
	Commit  string    `json:"commit"`
}

// HistoryKey is the key of the history row of a version; keys sort by version.
func HistoryKey(version uint64) string { return fmt.Sprintf("%s%012d", HistoryPrefix, version) }

// Entry is an entry's row.
type Entry struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Link        string `json:"link"`
	Operator    string `json:"operator"`
	Domain      string `json:"domain"`
	Heartbeat   uint64 `json:"beat"`
}

// Shard is a shard's row. A change of Heartbeat tells others that the owner lives.
type Shard struct {
	Owner     string        `json:"owner"`
	Epoch     uint64        `json:"epoch"`
	Heartbeat uint64        `json:"beat"`
	Lease     time.Duration `json:"lease"`
	Commit    string        `json:"commit"`
}

// ShardKey is the key of a shard's row.
func ShardKey(shard int) string { return fmt.Sprintf("%s%04d", ShardPrefix, shard) }

// Shards is the row that fixes the number of shards.
type Shards struct {
	Count int `json:"count"`
}

// Epoch is the row that changes only when a shard changes hands. Every commit of
// an owner is conditional on it.
type Epoch struct {
	Owner  string `json:"owner"`
	Epoch  uint64 `json:"epoch"`
	Commit string `json:"commit"`
}

// EpochKey is the key of a shard's epoch row.
func EpochKey(shard int) string { return fmt.Sprintf("%s%04d", EpochPrefix, shard) }

// ShardOf tells which of count shards a name belongs to.
func ShardOf(name string, count int) int {
	return int(xxhash.Sum64String(name) % uint64(max(count, 1)))
}

// Kinds of inbox rows.
const (
	InboxSubmit = "submit"
	InboxCancel = "cancel"
)

// InboxItem is a job for a shard's owner to take up or to cancel.
type InboxItem struct {
	Job    string    `json:"job"`
	Kind   string    `json:"kind"`
	At     time.Time `json:"at"`
	Commit string    `json:"commit"`
}

// InboxPrefixOf is the prefix of a shard's inbox.
func InboxPrefixOf(shard int) string { return fmt.Sprintf("%s%04d/", InboxPrefix, shard) }

// InboxKey is the key of an inbox row.
func InboxKey(shard int, job, kind string) string {
	return InboxPrefixOf(shard) + job + "/" + kind
}

// IdempotencyKey is what became of a keyed request.
type IdempotencyKey struct {
	Attempt string    `json:"attempt"`
	Outcome string    `json:"outcome"` // "" while it is under way
	Status  int       `json:"status,omitempty"`
	At      time.Time `json:"at"`
}

// Window is the index row of one stored window of a node's ledger.
type Window struct {
	Node        string    `json:"node"`
	Incarnation string    `json:"incarnation"`
	Number      int       `json:"number"`
	From        time.Time `json:"from"`
	To          time.Time `json:"to"`
	Object      string    `json:"object"`
	Last        bool      `json:"last,omitempty"` // the node ended in order after it
}

// WindowKey is the key of a window's index row; keys sort by time.
func WindowKey(w Window) string {
	return fmt.Sprintf("%s%s/%s/%s/%06d", LedgerPrefix, w.From.UTC().Format("20060102T150405.000"), w.Node, w.Incarnation, w.Number)
}

// Encode writes a row's value.
func Encode(value any) ([]byte, error) {
	text, err := json.Marshal(value)
	return text, errors.Wrap(err, "encode row")
}

// Decode reads a row's value.
func Decode[T any](row table.Row) (T, error) {
	var value T
	err := json.Unmarshal(row.Value, &value)
	return value, errors.Wrapf(err, "decode row %s", row.Key)
}

// Get reads and decodes one row; its version is table.Absent if there is none.
func Get[T any](ctx context.Context, from *table.Client, key string) (T, uint64, error) {
	var none T
	row, err := from.Get(ctx, key)
	if err != nil || row.Revision == table.Absent {
		return none, table.Absent, err
	}
	value, err := Decode[T](row)
	return value, row.Revision, err
}

// NewWrite makes the write of a row.
func NewWrite(key string, value any) (table.Write, error) {
	text, err := Encode(value)
	return table.Write{Key: key, Value: text}, err
}

// Scan reads and decodes all rows below prefix.
func Scan[T any](ctx context.Context, from *table.Client, prefix string) ([]T, error) {
	rows, err := from.Scan(ctx, prefix)
	if err != nil {
		return nil, err
	}
	values := make([]T, 0, len(rows))
	for _, row := range rows {
		value, err := Decode[T](row)
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	return values, nil
}

// Entries reads the entries' rows as peers that an agent can dial. Some may be
// gone; their rows are removed by the entries that live.
func Entries(ctx context.Context, from *table.Client) ([]link.Peer, error) {
	rows, err := Scan[Entry](ctx, from, EntryPrefix)
	if err != nil {
		return nil, err
	}
	peers := make([]link.Peer, 0, len(rows))
	for _, row := range rows {
		peers = append(peers, link.Peer{Name: row.Name, Link: row.Link})
	}
	return peers, nil
}

// RendezvousWeight is the rendezvous weight of an entry for a shard: the entry that weighs
// most comes first (Thaler and Ravishankar, 1998).
func RendezvousWeight(entry string, shard int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", entry, shard))
}
