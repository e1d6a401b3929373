// Package record defines the keys and values of the rows that the system stores in the
// platform's table, and reads and encodes them. When rows are written, and under which
// conditions, is left to the packages that own them.
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

// Keys and key prefixes of the rows.
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
	EvacuationsKey    = "evacuations"
)

// Config is the value of the row with the configuration document in force, and of each
// history row. By is the operator who proposed it. Commit makes the value of each write unique.
type Config struct {
	Version uint64    `json:"version"`
	Text    string    `json:"text"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
	Commit  string    `json:"commit"`
}

// HistoryKey returns the key of the history row of a version. The keys sort by version.
func HistoryKey(version uint64) string { return fmt.Sprintf("%s%012d", HistoryPrefix, version) }

// Entry is the row of an entry: its addresses, and a heartbeat that the entry changes
// while it is alive.
type Entry struct {
	Name            string `json:"name"`
	Incarnation     string `json:"incarnation"`
	LinkAddress     string `json:"link"`
	OperatorAddress string `json:"operator"`
	Domain          string `json:"domain"`
	Heartbeat       uint64 `json:"beat"`
}

// Evacuations is the row with the failure domains that operators have evacuated. Its version grows
// with each change. Commit makes the value of each write unique.
type Evacuations struct {
	Version uint64       `json:"version"`
	Domains []Evacuation `json:"domains"`
	Commit  string       `json:"commit"`
}

// Evacuation is one evacuated failure domain: who asked for it, and when.
type Evacuation struct {
	Domain string    `json:"domain"`
	By     string    `json:"by"`
	At     time.Time `json:"at"`
}

// Names returns the evacuated domains.
func (e Evacuations) Names() []string {
	var names []string
	for _, evacuated := range e.Domains {
		names = append(names, evacuated.Domain)
	}
	return names
}

// Shard is the row of a shard. Other entries consider the owner alive while Heartbeat
// changes.
type Shard struct {
	Owner     string        `json:"owner"`
	Epoch     uint64        `json:"epoch"`
	Heartbeat uint64        `json:"beat"`
	Lease     time.Duration `json:"lease"`
	Commit    string        `json:"commit"`
}

// ShardKey returns the key of a shard's row.
func ShardKey(shard int) string { return fmt.Sprintf("%s%04d", ShardPrefix, shard) }

// Shards is the row that sets the number of shards.
type Shards struct {
	Count int `json:"count"`
}

// Epoch is the row that changes only when the owner of a shard changes. Every commit of an
// owner is conditional on it, which fences off earlier owners.
type Epoch struct {
	Owner  string `json:"owner"`
	Epoch  uint64 `json:"epoch"`
	Commit string `json:"commit"`
}

// EpochKey returns the key of a shard's epoch row.
func EpochKey(shard int) string { return fmt.Sprintf("%s%04d", EpochPrefix, shard) }

// ShardOf returns the number of the shard, below count, that a name belongs to.
func ShardOf(name string, count int) int {
	return int(xxhash.Sum64String(name) % uint64(max(count, 1)))
}

// Kinds of inbox items.
const (
	InboxSubmit = "submit"
	InboxCancel = "cancel"
)

// InboxItem asks the owner of a shard to schedule or to cancel a job.
type InboxItem struct {
	Job    string    `json:"job"`
	Kind   string    `json:"kind"`
	At     time.Time `json:"at"`
	Commit string    `json:"commit"`
}

// InboxPrefixOf returns the key prefix of a shard's inbox rows.
func InboxPrefixOf(shard int) string { return fmt.Sprintf("%s%04d/", InboxPrefix, shard) }

// InboxKey returns the key of an inbox row.
func InboxKey(shard int, job, kind string) string {
	return InboxPrefixOf(shard) + job + "/" + kind
}

// IdempotencyKey is the row with the state of a request that has an idempotency key.
type IdempotencyKey struct {
	Commit  string    `json:"attempt"`
	Outcome string    `json:"outcome"` // "" while the request is in progress
	Status  int       `json:"status,omitempty"`
	At      time.Time `json:"at"`
}

// WindowIndex is the index row of one stored window of a node's ledger. Object is the key of the
// object with the window.
type WindowIndex struct {
	Node        string    `json:"node"`
	Incarnation string    `json:"incarnation"`
	Number      int       `json:"number"`
	From        time.Time `json:"from"`
	To          time.Time `json:"to"`
	Object      string    `json:"object"`
	Last        bool      `json:"last,omitempty"` // the node shut down properly after this window
}

// WindowKey returns the key of a window's index row. The keys sort by start time.
func WindowKey(w WindowIndex) string {
	return fmt.Sprintf("%s%s/%s/%s/%06d", LedgerPrefix, w.From.UTC().Format("20060102T150405.000"), w.Node, w.Incarnation, w.Number)
}

// Encode encodes the value of a row as JSON.
func Encode(value any) ([]byte, error) {
	text, err := json.Marshal(value)
	return text, errors.Wrap(err, "encode row")
}

// Decode decodes the value of a row.
func Decode[T any](row table.Row) (T, error) {
	var value T
	err := json.Unmarshal(row.Value, &value)
	return value, errors.Wrapf(err, "decode row %s", row.Key)
}

// Get reads and decodes one row and returns its revision, which is table.Absent if there is
// no such row.
func Get[T any](ctx context.Context, client *table.Client, key string) (T, uint64, error) {
	var zero T
	row, err := client.Get(ctx, key)
	if err != nil || row.Revision == table.Absent {
		return zero, table.Absent, err
	}
	value, err := Decode[T](row)
	return value, row.Revision, err
}

// NewWrite returns the write of a row for a commit. It stores nothing itself.
func NewWrite(key string, value any) (table.Write, error) {
	text, err := Encode(value)
	return table.Write{Key: key, Value: text}, err
}

// Scan reads and decodes all rows whose keys start with prefix.
func Scan[T any](ctx context.Context, client *table.Client, prefix string) ([]T, error) {
	rows, err := client.Scan(ctx, prefix)
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

// Entries returns the entries in the table as peers that an agent can dial. Some may have
// stopped already; the entries that are alive remove their rows.
func Entries(ctx context.Context, client *table.Client) ([]link.Peer, error) {
	rows, err := Scan[Entry](ctx, client, EntryPrefix)
	if err != nil {
		return nil, err
	}
	peers := make([]link.Peer, 0, len(rows))
	for _, row := range rows {
		peers = append(peers, link.Peer{Name: row.Name, LinkAddress: row.LinkAddress})
	}
	return peers, nil
}

// RendezvousWeight returns the weight of an entry for a shard in rendezvous hashing (Thaler
// and Ravishankar, 1998). The entry with the highest weight is preferred.
func RendezvousWeight(entry string, shard int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", entry, shard))
}
