package budget

import "sync"

// share is a part of the memory, in bytes.
type share struct {
	mu       sync.Mutex
	capacity int64
	used     int64
	freed    chan struct{} // closed at the next release; nil if nobody waits
}

func newShare(capacity int64) *share {
	return &share{capacity: capacity}
}

// take takes n bytes if as many, and reserve, are free. Otherwise it returns a channel that
// is closed at the next release.
func (s *share) take(n, reserve int64) (ok bool, freed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used+n > s.capacity-reserve {
		if s.freed == nil {
			s.freed = make(chan struct{})
		}
		return false, s.freed
	}
	s.used += n
	return true, nil
}

func (s *share) release(n int64) {
	if n == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used -= n
	if s.freed != nil {
		close(s.freed)
		s.freed = nil
	}
}

func (s *share) inUse() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}
