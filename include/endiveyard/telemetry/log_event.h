#ifndef ENDIVEYARD_TELEMETRY_LOG_EVENT_H_
#define ENDIVEYARD_TELEMETRY_LOG_EVENT_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace endiveyard {

enum class LogLevel { kDebug, kInfo, kWarn, kError };

// One entry of the catalogue in docs/events.md. Numbers are never reused.
struct LogEventEntry {
  int number;
  LogLevel level;
  std::string_view name;
  std::string_view meaning;
  std::string_view action;  // what an operator does about it
};

// Hundreds group the events by part: 1xx process, 2xx serving, 3xx targets,
// 4xx bookings, 5xx authority and orders, 6xx configuration, 7xx peers,
// 8xx object API.
const std::vector<LogEventEntry>& LogEventCatalogue();

// Returns the entry, or nullptr when the number is not in the catalogue.
const LogEventEntry* FindLogEvent(int number);

// Writes numbered events as one line of key=value pairs. Safe from any thread.
class EventLogger {
 public:
  // `level` is debug, info, warn or error; `instance` is on every line.
  EventLogger(std::string_view level, std::string_view instance);
  ~EventLogger();
  EventLogger(const EventLogger&) = delete;
  EventLogger& operator=(const EventLogger&) = delete;

  // Precondition: `number` is in the catalogue; other numbers are written as
  // errors so that the gap is noticed.
  void Log(int number, std::string_view detail) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_TELEMETRY_LOG_EVENT_H_
