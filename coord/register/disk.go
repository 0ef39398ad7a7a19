package register

import (
	"context"
	"errors"
	"time"

	"reachspread/coord/storage"
)

const (
	// slowWriteThreshold is the duration of a write from which on the process counts as unhealthy.
	// An unhealthy process is left out of the chain, because the chain is as slow as its slowest
	// disk.
	slowWriteThreshold = 400 * time.Millisecond
	// writeRetryDelay is the time from a failed write to the next attempt.
	writeRetryDelay = 200 * time.Millisecond
	// diskRecoveryDelay is how long after the last slow or failed write the process counts as
	// healthy again.
	diskRecoveryDelay = 1 * time.Second
)

// writeResult is the outcome of writing a Batch.
type writeResult struct {
	recordCount uint64 // the RecordCount of the batch
	err         error
}

// startWrite starts the next write to the disk if no write is in progress. Without a disk, records
// count as durable at once.
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

// nextBatch returns the next batch to write, nil if there is nothing to write or the batch can't be
// encoded. After an encoding error, the next batch contains the complete state.
func (r *Replica) nextBatch() *Batch {
	b, err := r.core.NextBatch(r.store, r.needsFullWrite)
	if err != nil {
		r.options.Log.Warn("register write encoding failed", "cause", err)
		r.needsFullWrite = true
		return nil
	}
	return b
}

// writeBatches writes batches until ctx ends. It runs in a goroutine of its own, so that no other
// goroutine waits for the disk.
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

// handleResult handles the end of a write. After an error, the next batch contains the complete
// state.
func (r *Replica) handleResult(w writeResult) {
	r.writing = false
	if r.now()-r.writeStartedAt >= slowWriteThreshold || w.err != nil {
		r.lastSlowWrite = r.now()
	}
	if w.err != nil {
		if !r.writeFailed && !errors.Is(w.err, storage.ErrSaveRequired) {
			r.options.Log.Warn("register write failed", "cause", w.err)
		}
		r.writeFailed, r.needsFullWrite, r.nextWrite = true, true, r.now()+writeRetryDelay
		r.updateDiskHealth()
		return
	}
	if r.writeFailed {
		r.options.Log.Info("register write succeeded after failure")
	}
	r.writeFailed, r.needsFullWrite = false, false
	r.updateDiskHealth()
	r.execute(r.core.RecordsWritten(w.recordCount, r.now()))
}

// updateDiskHealth tells the Core whether the disk is healthy: the last write did not fail, and no
// write within diskRecoveryDelay was slow or failed.
func (r *Replica) updateDiskHealth() {
	if r.writing && r.now()-r.writeStartedAt >= slowWriteThreshold {
		r.lastSlowWrite = r.now()
	}
	r.core.SetHealthy(!r.writeFailed && (r.lastSlowWrite == 0 || r.now()-r.lastSlowWrite >= diskRecoveryDelay))
}
