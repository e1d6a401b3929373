package main

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/apricotwind/apricotwind/internal/owner"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

// aliveTable is the table of the owner's heartbeat, which names the owner's link address, too.
const aliveTable = "alive"

// linkEnds names the two processes of a link.
type linkEnds struct{ from, to string }

// linkProxies puts a proxy of its own between each process and each owner that it calls. The processes
// read the owner's address in the store, so each of them is shown that of its proxy there. The methods may
// be called concurrently.
type linkProxies struct {
	ctx     context.Context
	mu      sync.Mutex
	proxies map[linkEnds]*proxy
	cut     map[string]bool // processes without links
}

// newLinkProxies returns an empty set of proxies, which run until ctx ends.
func newLinkProxies(ctx context.Context) *linkProxies {
	return &linkProxies{ctx: ctx, proxies: map[linkEnds]*proxy{}, cut: map[string]bool{}}
}

// setCut cuts a process off from all others, or ends that.
func (l *linkProxies) setCut(name string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[name] = cut
	for ends, p := range l.proxies {
		if ends.from == name || ends.to == name {
			p.set(l.modeOf(ends))
		}
	}
}

// modeOf returns the mode of the proxy of a link. The caller holds the lock.
func (l *linkProxies) modeOf(ends linkEnds) mode {
	if l.cut[ends.from] || l.cut[ends.to] {
		return dropAll
	}
	return passThrough
}

// address returns the address of the proxy of a link to a process with the given address.
func (l *linkProxies) address(ends linkEnds, target string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.proxies[ends]
	if p == nil {
		var err error
		if p, err = newProxy(target); err != nil {
			return "", err
		}
		p.set(l.modeOf(ends))
		l.proxies[ends] = p
		context.AfterFunc(l.ctx, p.close)
	}
	return p.address(), nil
}

// view returns the store as reader sees it: with the addresses of its proxies in place of the owners'.
func (l *linkProxies) view(reader string, store *table.Store) *table.Store {
	read, watch, apply := store.Read, store.Watch, store.Apply
	view := *store
	view.Read = func(ctx context.Context, keys table.Range) ([]table.Record, uint64, error) {
		rows, revision, err := read(ctx, keys)
		return l.showAll(reader, rows), revision, err
	}
	view.Watch = func(ctx context.Context, name string, after uint64, wait time.Duration) (table.WatchResult, error) {
		changes, err := watch(ctx, name, after, wait)
		changes.Rows = l.showAll(reader, changes.Rows)
		return changes, err
	}
	view.Apply = func(ctx context.Context, txn table.Txn) (table.TxnResult, error) {
		result, err := apply(ctx, txn)
		result.Rows = l.showAll(reader, result.Rows)
		return result, err
	}
	return &view
}

// showAll returns copies of rows as reader sees them.
func (l *linkProxies) showAll(reader string, rows []table.Record) []table.Record {
	shown := make([]table.Record, 0, len(rows))
	for _, row := range rows {
		shown = append(shown, l.show(reader, row))
	}
	return shown
}

// show returns a row as reader sees it. Only the rows that name another process as the owner differ.
func (l *linkProxies) show(reader string, row table.Record) table.Record {
	if row.Table != owner.TableName && row.Table != aliveTable {
		return row
	}
	holder, err := owner.ReadHolder(row)
	if err != nil || holder.Name == "" || holder.Name == reader || holder.Address == "" {
		return row // a removed row has no value
	}
	address, err := l.address(linkEnds{reader, holder.Name}, holder.Address)
	if err != nil {
		return row // the soak has no port left: this link cannot be cut
	}
	// The other fields stay as they are, also those that this version does not know.
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(row.Value, &fields); err != nil {
		return row
	}
	fields["address"], _ = json.Marshal(address) // a string always encodes
	row.Value, _ = json.Marshal(fields)
	return row
}
