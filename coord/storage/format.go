package storage

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	slotMagic       = 0x52535331 // "RSS1"
	recordMagic     = 0x52534c31 // "RSL1"
	slotHeaderLen   = 4 + 8 + 8 + checksumLen
	recordHeaderLen = 4 + 8 + 4 + 4 + checksumLen
	checksumLen     = 4
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// appendSlot appends an encoded slot to a buffer: magic, generation, length of the state, checksum
// and state.
func appendSlot(to []byte, generation uint64, state []byte) []byte {
	begin := len(to)
	to = binary.BigEndian.AppendUint32(to, slotMagic)
	to = binary.BigEndian.AppendUint64(to, generation)
	to = binary.BigEndian.AppendUint64(to, uint64(len(state)))
	to = binary.BigEndian.AppendUint32(to, checksum(to[begin:], state))
	return append(to, state...)
}

// parseSlot decodes a slot; ok is false unless the slot is complete and its checksum is correct.
func parseSlot(data []byte) (generation uint64, state []byte, ok bool) {
	if len(data) < slotHeaderLen || binary.BigEndian.Uint32(data) != slotMagic {
		return 0, nil, false
	}
	generation = binary.BigEndian.Uint64(data[4:])
	length := binary.BigEndian.Uint64(data[12:])
	if length > uint64(len(data)-slotHeaderLen) {
		return 0, nil, false
	}
	state = data[slotHeaderLen : slotHeaderLen+int(length)]
	header := data[:slotHeaderLen-checksumLen]
	stored := binary.BigEndian.Uint32(data[slotHeaderLen-checksumLen:])
	return generation, state, generation > 0 && checksum(header, state) == stored
}

// appendRecord appends an encoded record to a buffer: magic, generation, index, length of the
// content, checksum and content.
func appendRecord(to []byte, generation uint64, index uint32, record []byte) []byte {
	begin := len(to)
	to = binary.BigEndian.AppendUint32(to, recordMagic)
	to = binary.BigEndian.AppendUint64(to, generation)
	to = binary.BigEndian.AppendUint32(to, index)
	to = binary.BigEndian.AppendUint32(to, uint32(len(record)))
	to = binary.BigEndian.AppendUint32(to, checksum(to[begin:], record))
	return append(to, record...)
}

// parseRecord decodes the record at the start of data, and returns its content and its size with
// header. ok is false unless the record is complete, has a correct checksum, and has the given
// generation and index.
func parseRecord(data []byte, generation uint64, index uint32) (record []byte, size int, ok bool) {
	if len(data) < recordHeaderLen || binary.BigEndian.Uint32(data) != recordMagic {
		return nil, 0, false
	}
	if binary.BigEndian.Uint64(data[4:]) != generation || binary.BigEndian.Uint32(data[12:]) != index {
		return nil, 0, false
	}
	length := binary.BigEndian.Uint32(data[16:])
	if uint64(length) > uint64(len(data)-recordHeaderLen) {
		return nil, 0, false
	}
	size = recordHeaderLen + int(length)
	record = data[recordHeaderLen:size]
	header := data[:recordHeaderLen-checksumLen]
	stored := binary.BigEndian.Uint32(data[recordHeaderLen-checksumLen:])
	return record, size, checksum(header, record) == stored
}

// checksum returns the CRC-32C of a header without its checksum field, followed by the content.
func checksum(header, content []byte) uint32 {
	return crc32.Update(crc32.Checksum(header, crcTable), crcTable, content)
}
