#include "front/instance_record.h"

#include <simdjson.h>

#include "endiveyard/telemetry/json_log.h"

namespace endiveyard {

std::string EncodeInstanceRecord(const InstanceRecord& record) {
  return "{\"ip\":" + JsonQuoted(record.ip) +
         ",\"written_ms\":" + std::to_string(record.written_ms) +
         (record.report.empty() ? ""
                                : ",\"report\":" + JsonQuoted(record.report)) +
         "}";
}

std::optional<InstanceRecord> DecodeInstanceRecord(std::string_view text) {
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  std::string_view ip;
  InstanceRecord record;
  if (parser.parse(text.data(), text.size()).get(root) != simdjson::SUCCESS ||
      root["ip"].get(ip) != simdjson::SUCCESS ||
      root["written_ms"].get(record.written_ms) != simdjson::SUCCESS) {
    return std::nullopt;
  }
  record.ip = ip;
  std::string_view report;
  if (root["report"].get(report) == simdjson::SUCCESS) {
    record.report = report;
  }
  return record;
}

}  // namespace endiveyard
