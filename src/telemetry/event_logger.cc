#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <string>

#include "endiveyard/telemetry/log_event.h"

namespace endiveyard {
namespace {

log4cplus::LogLevel ToLog4cplus(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::LogLevel ParseLevel(std::string_view level) {
  if (level == "debug") {
    return log4cplus::DEBUG_LOG_LEVEL;
  }
  if (level == "warn") {
    return log4cplus::WARN_LOG_LEVEL;
  }
  if (level == "error") {
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

}  // namespace

class EventLogger::Impl {
 public:
  Impl(std::string_view level, std::string_view instance)
      : instance_(instance) {
    // Static, since log4cplus cannot be initialized again after its shutdown.
    static const log4cplus::Initializer kInitializer;
    logger_ = log4cplus::Logger::getInstance("endiveyard");
    constexpr bool kLogToStdErr = true;
    constexpr bool kImmediateFlush = true;
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(kLogToStdErr, kImmediateFlush));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
    logger_.removeAllAppenders();
    logger_.addAppender(appender);
    logger_.setLogLevel(ParseLevel(level));
  }

  void Log(int number, std::string_view detail) const {
    const LogEventEntry* entry = FindLogEvent(number);
    std::string line = "event=" + std::to_string(number) + " name=";
    line += entry == nullptr ? "not_in_catalogue" : entry->name;
    line += " instance=" + instance_;
    if (!detail.empty()) {
      line += " detail=\"" + Escape(detail) + "\"";
    }
    logger_.log(entry == nullptr ? log4cplus::ERROR_LOG_LEVEL
                                 : ToLog4cplus(entry->level),
                line);
  }

 private:
  // Escapes quotes and backslashes and replaces control characters by spaces,
  // so that text from callers cannot break the line format.
  static std::string Escape(std::string_view text) {
    std::string escaped;
    for (const char c : text) {
      if (c == '"' || c == '\\') {
        escaped.push_back('\\');
        escaped.push_back(c);
      } else if (static_cast<unsigned char>(c) < 0x20) {
        escaped.push_back(' ');
      } else {
        escaped.push_back(c);
      }
    }
    return escaped;
  }

  log4cplus::Logger logger_;
  std::string instance_;
};

EventLogger::EventLogger(std::string_view level, std::string_view instance)
    : impl_(std::make_unique<Impl>(level, instance)) {}
EventLogger::~EventLogger() = default;

void EventLogger::Log(int number, std::string_view detail) const {
  impl_->Log(number, detail);
}

}  // namespace endiveyard
