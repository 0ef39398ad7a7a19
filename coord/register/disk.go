package register

import (
	"context"
	"errors"
	"time"

	"reachspread/coord/storage"
)

const (
	// slowWriteThreshold is how long a write may take before the process counts as unhealthy and is
	// left out of the chain, which is as slow as its slowest disk.
	slowWriteThreshold = 400 * time.Millisecond
	// writeRetryDelay is the time from a failed write to the next attempt.
	writeRetryDelay = 200 * time.Millisecond
	// diskRecoveryDelay is how long no write may have been slow or failed before the process counts
	// as healthy again.
	diskRecoveryDelay = 1 * time.Second
)

// writeResult is the outcome of writing a batch.
type writeResult struct {
	recordCount uint64
	err         error
}

// startWrite starts the next write to the disk if none is in progress. Without a disk records
// are durable at once.
func (r *Replica) startWrite() {
	for !r.writing {
		if r.store == nil {
			records, count := r.core.PendingRecords()
			if len(records) == 0 {
				return
			}
			r.execute(r.core.RecordsWritten(count, r.now()))
			continue
		}
		if r.writeFailed && r.now() < r.nextWrite {
			return
		}
		b := r.nextBatch()
		if b == nil {
			return
		}
		r.writing, r.writeStartedAt = true, r.now()
		r.batches <- b
	}
}

// nextBatch returns what is to be written next, nil for nothing.
func (r *Replica) nextBatch() *Batch {
	b, err := r.core.NextBatch(r.store, r.needsFullWrite)
	if err != nil {
		r.options.Log.Warn("record unwritable", "cause", err)
		r.needsFullWrite = true
		return nil
	}
	return b
}

// writeBatches writes batches until ctx ends, so that only this goroutine waits for the disk.
func (r *Replica) writeBatches(ctx context.Context) {
	for {
		var b *Batch
		select {
		case <-ctx.Done():
			return
		case b = <-r.batches:
		}
		r.results <- writeResult{b.RecordCount, b.Write(r.store)}
	}
}

// handleResult takes in that a write is done. After an error the complete state is written.
func (r *Replica) handleResult(w writeResult) {
	r.writing = false
	if r.now()-r.writeStartedAt >= slowWriteThreshold || w.err != nil {
		r.lastSlowWrite = r.now()
	}
	if w.err != nil {
		if !r.writeFailed && !errors.Is(w.err, storage.ErrSaveRequired) {
			r.options.Log.Warn("disk failed", "cause", w.err)
		}
		r.writeFailed, r.needsFullWrite, r.nextWrite = true, true, r.now()+writeRetryDelay
		r.updateDiskHealth()
		return
	}
	if r.writeFailed {
		r.options.Log.Info("disk back")
	}
	r.writeFailed, r.needsFullWrite = false, false
	r.updateDiskHealth()
	r.execute(r.core.RecordsWritten(w.recordCount, r.now()))
}

// updateDiskHealth reports to the Core whether the disk is reliable.
func (r *Replica) updateDiskHealth() {
	if r.writing && r.now()-r.writeStartedAt >= slowWriteThreshold {
		r.lastSlowWrite = r.now()
	}
	r.core.SetHealthy(!r.writeFailed && (r.lastSlowWrite == 0 || r.now()-r.lastSlowWrite >= diskRecoveryDelay))
}
