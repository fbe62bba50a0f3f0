#ifndef ENDIVEYARD_SRC_FRONT_INSTANCE_RECORDER_H_
#define ENDIVEYARD_SRC_FRONT_INSTANCE_RECORDER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "endiveyard/base/time_point.h"
#include "endiveyard/registry/registry_client.h"

namespace endiveyard {

// Limits on what is read.
inline constexpr size_t kMaxInstanceRecords = 2000;
inline constexpr size_t kMaxInstanceRecordPages = 20;

// Interval at which an instance writes its record again, and the age from which
// a record says nothing. An instance that cannot write for this difference is
// no longer counted by those that have started meanwhile.
inline constexpr Duration kInstanceRecordInterval = std::chrono::seconds(30);
inline constexpr Duration kInstanceRecordLifetime = std::chrono::seconds(90);
// Older records belong to instances that are gone. They are removed.
inline constexpr Duration kMaxInstanceRecordAge = std::chrono::minutes(10);

// An instance writes its first record within this time, so that a whole fleet
// that starts stays within the rate of the registry, and reads the records for
// the second time when all have been written, also in an old state of the
// registry.
inline constexpr Duration kFirstRecordTime = std::chrono::seconds(3);
inline constexpr Duration kSecondReadTime = std::chrono::seconds(8);
// Interval of further reads for each kInstancesPerReadInterval records, which
// limits the bytes per second.
inline constexpr Duration kInstanceReadInterval = std::chrono::seconds(5);
inline constexpr size_t kInstancesPerReadInterval = 50;
// The same while other instances are not heard though their records are newer
// than kRenewedRecordAge, so that their reports are read. The records of
// instances that are gone are older once these are no longer heard.
inline constexpr Duration kReportReadInterval = std::chrono::seconds(2);
inline constexpr Duration kRenewedRecordAge = std::chrono::seconds(40);
// An instance writes a new report after this time at the earliest, and later
// where all together would use more than half of the writes of the registry.
inline constexpr Duration kReportWriteInterval = std::chrono::seconds(1);
// Instances that keep their report in their record although all hear them, so
// that it outlives all processes, and how often they write a new one.
inline constexpr size_t kReportKeepers = 2;
inline constexpr Duration kKeptReportWriteInterval = std::chrono::seconds(5);

struct InstanceRecorderOptions {
  std::string kind;  // of the objects that hold the records
  std::string name;  // of this instance, and of its record
  std::string ip;
  // Writes per second that the registry takes from all instances together; 0 if
  // there is no limit.
  double registry_writes_per_second = 0;
};

// What an instance tells others through its record.
struct InstanceReport {
  std::string text;  // empty for nothing
  // Differs between reports that tell something else.
  uint64_t fingerprint = 0;
};

// The record of an instance that runs.
struct RecordedInstance {
  std::string ip;
  std::string report;
  Duration report_age{};  // by the clocks of both
};

struct InstanceRecorderHandlers {
  std::function<TimePoint()> now;
  std::function<int64_t()> unix_ms;
  // Runs `action` after `delay`.
  std::function<void(Duration delay, std::function<void()> action)> schedule;
  // The instances that run according to the registry; may include the own one.
  std::function<void(const std::vector<RecordedInstance>& instances)> on_read;
  // Returns true if the instance at the address is heard, or is this one.
  std::function<bool(const std::string& ip)> hears;
  // Returns what to tell instances that do not hear this one.
  std::function<InstanceReport()> report;
  // Returns true if this instance is one of the keepers of reports.
  std::function<bool()> keeps_report;
  // A read or write failed; called for the first one in a row.
  std::function<void(const absl::Status& status)> on_failure;
};

// Keeps a record of this instance in the registry, and reads those of the
// others, so that an instance also knows of those that it does not hear, and
// can tell them what must not wait. What some of them know is there for those
// that start when all have ended.
class InstanceRecorder {
 public:
  InstanceRecorder(RegistryClient* lists,
                   RegistryObjectClient* objects,
                   InstanceRecorderOptions options,
                   InstanceRecorderHandlers handlers);
  ~InstanceRecorder();
  InstanceRecorder(const InstanceRecorder&) = delete;
  InstanceRecorder& operator=(const InstanceRecorder&) = delete;

  // Starts reading and writing.
  void Start();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_SRC_FRONT_INSTANCE_RECORDER_H_
