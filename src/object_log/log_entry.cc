#include "endiveyard/object_log/log_entry.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace endiveyard {
namespace {

constexpr size_t kNumberDigits = 12;
// The last two digits number the entries of a page: 10^2 = kLogPageEntries.
constexpr size_t kPageDigits = 2;

bool ParseNumber(std::string_view text, uint64_t* number) {
  return absl::SimpleAtoi(absl::string_view(text.data(), text.size()), number);
}

}  // namespace

std::string LogEntryKey(std::string_view log, uint64_t number) {
  std::string digits = std::to_string(number);
  digits.insert(0, kNumberDigits - digits.size(), '0');
  return std::string(log) + "/" + digits;
}

std::string LogPagePrefix(std::string_view log, uint64_t number) {
  std::string key = LogEntryKey(log, number);
  key.resize(key.size() - kPageDigits);
  return key;
}

std::string LogTruncationPointKey(std::string_view log) {
  return std::string(log) + ".floor";
}

std::string FormatLogTruncationPoint(const LogTruncationPoint& point) {
  return absl::StrCat(point.truncated_through, " ", point.deleted_through);
}

bool ParseLogTruncationPoint(std::string_view value,
                             LogTruncationPoint* point) {
  const size_t space = value.find(' ');
  return space != std::string_view::npos &&
         ParseNumber(value.substr(0, space), &point->truncated_through) &&
         ParseNumber(value.substr(space + 1), &point->deleted_through);
}

uint64_t LogEntryNumber(std::string_view key) {
  uint64_t number = 0;
  if (key.size() <= kNumberDigits ||
      key[key.size() - kNumberDigits - 1] != '/' ||
      !ParseNumber(key.substr(key.size() - kNumberDigits), &number)) {
    return 0;
  }
  return number;
}

std::string FormatLogEntry(const LogEntry& entry) {
  return absl::StrCat(entry.writer, " ", entry.batch, "\n", entry.payload);
}

bool ParseLogEntry(uint64_t number, std::string_view value, LogEntry* entry) {
  const size_t header_end = value.find('\n');
  const size_t space = value.substr(0, header_end).find(' ');
  if (header_end == std::string_view::npos || space == std::string_view::npos ||
      !ParseNumber(value.substr(space + 1, header_end - space - 1),
                   &entry->batch)) {
    return false;
  }
  entry->number = number;
  entry->writer = std::string(value.substr(0, space));
  entry->payload = std::string(value.substr(header_end + 1));
  return true;
}

}  // namespace endiveyard
