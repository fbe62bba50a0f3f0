#include "endiveyard/telemetry/json_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstdio>

#include "endiveyard/telemetry/log_event.h"
#include "endiveyard/telemetry/log_event_numbers.h"

namespace endiveyard {
namespace {

constexpr Duration kRateWindow = std::chrono::seconds(1);

void AppendEscaped(std::string* out, std::string_view text) {
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out->push_back('\\');
      out->push_back(c);
    } else if (static_cast<unsigned char>(c) < 0x20) {
      out->push_back(' ');
    } else {
      out->push_back(c);
    }
  }
}

// Unix time in ms, only for comparing the logs of instances. Durations and
// time-outs use BootClock.
int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

void JsonFields::AppendName(std::string_view name) {
  text_ += ",\"";
  text_ += name;
  text_ += "\":";
}

std::string JsonQuoted(std::string_view text) {
  std::string quoted = "\"";
  AppendEscaped(&quoted, text);
  return quoted + "\"";
}

JsonFields& JsonFields::Text(std::string_view name, std::string_view value) {
  AppendName(name);
  text_.push_back('"');
  AppendEscaped(&text_, value);
  text_.push_back('"');
  return *this;
}

JsonFields& JsonFields::Number(std::string_view name, double value) {
  AppendName(name);
  char buf[32];
  const int n = std::snprintf(buf, sizeof buf, "%.3g",
                              std::isfinite(value) ? value : -1.0);
  text_.append(buf, static_cast<size_t>(n));
  return *this;
}

JsonFields& JsonFields::Integer(std::string_view name, int64_t value) {
  AppendName(name);
  text_ += std::to_string(value);
  return *this;
}

JsonFields& JsonFields::Flag(std::string_view name, bool value) {
  AppendName(name);
  text_ += value ? "true" : "false";
  return *this;
}

JsonFields& JsonFields::Millis(std::string_view name, Duration value) {
  return Integer(name, value < Duration(0) ? -1 : value.count() / 1000);
}

JsonLog::JsonLog(std::string instance, Options options)
    : instance_(std::move(instance)), options_(options) {
  const int flags = fcntl(options_.fd, F_GETFL);
  if (flags >= 0) {
    (void)fcntl(options_.fd, F_SETFL, flags | O_NONBLOCK);
  }
}

void JsonLog::Log(int number, const JsonFields& fields, TimePoint now) {
  UpdateWindow(now);
  const LogEventEntry* entry = FindLogEvent(number);
  // Events of the process itself are rare and exempt from the rate limit.
  const bool is_request_event = number / 100 == kRelayEventGroup;
  if ((is_request_event && lines_in_window_ >= options_.max_lines_per_second) ||
      buffer_.size() >= options_.max_buffered_bytes) {
    ++suppressed_by_event_[number];
    ++suppressed_total_;
    return;
  }
  ++lines_in_window_;
  AppendLine(number, entry == nullptr ? "not_in_catalogue" : entry->name,
             fields.text());
  constexpr size_t kWriteThresholdBytes = 8192;
  if (buffer_.size() >= kWriteThresholdBytes) {
    WriteBuffer();
  }
}

void JsonLog::Flush(TimePoint now) {
  UpdateWindow(now);
  WriteBuffer();
}

void JsonLog::AppendLine(int number,
                         std::string_view name,
                         std::string_view fields) {
  buffer_ += "{\"unix_ms\":" + std::to_string(UnixMillis()) +
             ",\"event\":" + std::to_string(number) + ",\"name\":\"";
  buffer_ += name;
  buffer_ += "\",\"instance\":\"";
  AppendEscaped(&buffer_, instance_);
  buffer_ += "\"";
  buffer_ += fields;
  buffer_ += "}\n";
}

void JsonLog::UpdateWindow(TimePoint now) {
  if (now - window_start_ < kRateWindow) {
    return;
  }
  window_start_ = now;
  lines_in_window_ = 0;
  if (suppressed_by_event_.empty() ||
      buffer_.size() >= options_.max_buffered_bytes) {
    return;
  }
  for (const auto& [number, count] : suppressed_by_event_) {
    JsonFields fields;
    fields.Integer("of_event", number)
        .Integer("count", static_cast<int64_t>(count));
    AppendLine(kLogLinesSuppressed, "log_lines_suppressed", fields.text());
  }
  suppressed_by_event_.clear();
}

void JsonLog::WriteBuffer() {
  size_t written = 0;
  while (written < buffer_.size()) {
    const ssize_t n =
        write(options_.fd, buffer_.data() + written, buffer_.size() - written);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      break;  // the reader is slow or has closed; the rest stays buffered
    }
    written += static_cast<size_t>(n);
  }
  buffer_.erase(0, written);
}

}  // namespace endiveyard
