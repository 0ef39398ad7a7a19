package mirror

import (
	"context"
	"time"
)

// sampleInterval is the time between two samples of the live path. Each sample also makes the
// decider of each pool take a step, which applies the passage of time.
const sampleInterval = 25 * time.Millisecond

// startSampler starts the sampler goroutine unless it runs already. Close stops it. The caller must
// hold m.mu.
func (m *Mirror) startSampler() {
	if m.stopSampler != nil {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	m.stopSampler = stop
	m.sampler.Add(1)
	go m.sample(ctx)
}

// wakeSampler wakes the sampler if there are pools. The caller must hold m.mu.
func (m *Mirror) wakeSampler() {
	if len(m.pools) == 0 {
		return
	}
	select {
	case m.poolsAdded <- true:
	default:
	}
}

// sample samples the live path and passes the samples to all pools until ctx ends. It takes no
// samples while there are no pools. The delay of its own goroutine is part of the sample.
func (m *Mirror) sample(ctx context.Context) {
	defer m.sampler.Done()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		m.mu.Lock()
		pools := m.pools
		m.mu.Unlock()
		if len(pools) == 0 {
			ticker.Stop()
			select {
			case <-ctx.Done():
				return
			case <-m.poolsAdded:
			}
			m.options.Sample() // discarded; the next sample counts rejections from here
			ticker.Reset(sampleInterval)
			last = time.Now()
			continue
		}
		s := m.options.Sample()
		s.Delay = max(s.Delay, now.Sub(last)-sampleInterval)
		last = now
		for _, p := range pools {
			p.post(message{event: s})
		}
	}
}
