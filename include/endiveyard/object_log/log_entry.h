#ifndef ENDIVEYARD_OBJECT_LOG_LOG_ENTRY_H_
#define ENDIVEYARD_OBJECT_LOG_LOG_ENTRY_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace endiveyard {

// One entry of an object log: an append-only log whose entries are numbered
// objects, each stored under the key `<log>/<number>`.
struct LogEntry {
  uint64_t number = 0;  // counted from 1
  std::string writer;   // process incarnation that created the entry
  uint64_t batch = 0;   // batch id; increases with each batch of that writer
  std::string payload;  // UTF-8

  friend bool operator==(const LogEntry& a, const LogEntry& b) {
    return a.number == b.number && a.writer == b.writer && a.batch == b.batch &&
           a.payload == b.payload;
  }
};

// Maximum number of entries that one page read returns.
inline constexpr uint64_t kLogPageEntries = 100;

// Returns the key of entry `number`. Numbers are padded to 12 digits, so that
// keys sort by number and no key is a prefix of another.
std::string LogEntryKey(std::string_view log, uint64_t number);

// Returns the common key prefix of the page of kLogPageEntries numbers that
// contains `number`.
std::string LogPagePrefix(std::string_view log, uint64_t number);

// Returns the key of the object that stores the truncation point of the log.
std::string LogTruncationPointKey(std::string_view log);

// How far the log is truncated. Both fields are 0 while no such object exists.
struct LogTruncationPoint {
  uint64_t truncated_through = 0;  // entries up to this one are ignored
  uint64_t deleted_through = 0;    // entries up to this one are deleted
};
std::string FormatLogTruncationPoint(const LogTruncationPoint& point);
bool ParseLogTruncationPoint(std::string_view value, LogTruncationPoint* point);

// Returns the number of the entry stored under `key`, or 0 if `key` is not the
// key of an entry.
uint64_t LogEntryNumber(std::string_view key);

// Precondition: `entry.writer` contains neither a space nor a line break.
std::string FormatLogEntry(const LogEntry& entry);

// Parses what FormatLogEntry() returned. Returns false if `value` is malformed.
bool ParseLogEntry(uint64_t number, std::string_view value, LogEntry* entry);

}  // namespace endiveyard

#endif  // ENDIVEYARD_OBJECT_LOG_LOG_ENTRY_H_
