#include "front/instance_recorder.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <optional>
#include <utility>

#include "endiveyard/base/digest.h"
#include "front/instance_record.h"
#include "front/registry_write_interval.h"

namespace endiveyard {
namespace {

constexpr Duration kRetryDelay = std::chrono::seconds(2);
constexpr int64_t kMicrosPerMilli = 1000;

}  // namespace

class InstanceRecorder::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(RegistryClient* lists,
       RegistryObjectClient* objects,
       InstanceRecorderOptions options,
       InstanceRecorderHandlers handlers)
      : lists_(lists),
        objects_(objects),
        options_(std::move(options)),
        handlers_(std::move(handlers)) {}

  void Start() {
    started_at_ = handlers_.now();
    Read();
    const uint64_t offset = Digest64(options_.name) %
                            static_cast<uint64_t>(kFirstRecordTime.count());
    Schedule(Duration(static_cast<int64_t>(offset)), &Impl::OnWriteTimer);
    Schedule(kFirstRecordTime + Duration(static_cast<int64_t>(offset)),
             &Impl::OnReportTimer);
  }

 private:
  struct Entry {
    InstanceRecord record;
    int64_t revision = 0;
  };

  // Calls `action` on this object after `delay`, unless it is gone.
  void Schedule(Duration delay, void (Impl::*action)()) {
    const std::weak_ptr<Impl> weak = weak_from_this();
    handlers_.schedule(delay, [weak, action] {
      if (const auto self = weak.lock()) {
        (self.get()->*action)();
      }
    });
  }

  void Read() {
    entries_.clear();
    pages_ = 0;
    ReadPage("");
  }

  void ReadPage(const std::string& after) {
    const std::weak_ptr<Impl> weak = weak_from_this();
    auto done = [weak](const absl::StatusOr<RegistryPage>& page) {
      if (const auto self = weak.lock()) {
        self->OnPage(page);
      }
    };
    if (misses_instances_) {
      lists_->ListPage(options_.kind, after, std::move(done));
    } else {
      lists_->ListStalePage(options_.kind, after, std::move(done));
    }
  }

  void OnPage(const absl::StatusOr<RegistryPage>& page) {
    if (!page.ok()) {
      RecordOutcome(page.status());
      Schedule(kRetryDelay, &Impl::Read);
      return;
    }
    for (const RegistryObject& it : page->items) {
      auto record = DecodeInstanceRecord(it.spec);
      if (record && entries_.size() < kMaxInstanceRecords) {
        entries_[it.name] = {*std::move(record), it.revision};
      }
    }
    if (page->has_more && !page->items.empty() &&
        ++pages_ < kMaxInstanceRecordPages) {
      ReadPage(page->items.back().name);
      return;
    }
    OnRead();
  }

  void OnRead() {
    RecordOutcome(absl::OkStatus());
    std::vector<RecordedInstance> instances;
    for (const auto& [name, entry] : entries_) {
      const Duration age = AgeOf(entry.record);
      if (age < kInstanceRecordLifetime) {
        instances.push_back({entry.record.ip, entry.record.report, age});
      }
    }
    misses_instances_ =
        std::any_of(instances.begin(), instances.end(), [this](const auto& it) {
          return it.report_age < kRenewedRecordAge && !handlers_.hears(it.ip);
        });
    known_instances_ = instances.size();
    handlers_.on_read(instances);
    exists_ = exists_ || entries_.count(options_.name) > 0;
    RemoveOld();
    Schedule(TimeToNextRead(), &Impl::Read);
  }

  Duration TimeToNextRead() const {
    const auto age =
        std::chrono::duration_cast<Duration>(handlers_.now() - started_at_);
    const auto interval =
        (misses_instances_ ? kReportReadInterval : kInstanceReadInterval) *
        static_cast<int64_t>(1 + entries_.size() / kInstancesPerReadInterval);
    return age < kSecondReadTime ? kSecondReadTime - age : interval;
  }

  // Records of the future are as wrong as old ones.
  Duration AgeOf(const InstanceRecord& record) const {
    const int64_t now_ms = handlers_.unix_ms();
    const int64_t written_ms =
        std::clamp<int64_t>(record.written_ms, 0, 2 * now_ms);
    return Duration(std::abs(now_ms - written_ms) * kMicrosPerMilli);
  }

  // Removes the first old record that follows the own one, without another
  // record in force between them, so that few instances remove the same one.
  void RemoveOld() {
    auto it = entries_.find(options_.name);
    if (it == entries_.end()) {
      return;
    }
    if (++it == entries_.end()) {
      it = entries_.begin();
    }
    if (AgeOf(it->second.record) > kMaxInstanceRecordAge) {
      objects_->Remove(options_.kind, it->first, it->second.revision,
                       [](const absl::Status& /*status*/) {});
    }
  }

  void OnWriteTimer() {
    Schedule(kInstanceRecordInterval, &Impl::OnWriteTimer);
    StartWrite();
  }

  void OnReportTimer() {
    Schedule(RegistryWriteInterval(known_instances_,
                                   options_.registry_writes_per_second,
                                   kReportWriteInterval),
             &Impl::OnReportTimer);
    const InstanceReport report = Report();
    const bool is_due = misses_instances_ || handlers_.now() - written_at_ >=
                                                 kKeptReportWriteInterval;
    if (is_due && !report.text.empty() &&
        report.fingerprint != written_fingerprint_) {
      StartWrite();
    }
  }

  InstanceReport Report() const {
    return misses_instances_ || handlers_.keeps_report() ? handlers_.report()
                                                         : InstanceReport();
  }

  void StartWrite() {
    if (!std::exchange(is_write_pending_, true)) {
      Write();
    }
  }

  void Write() {
    InstanceReport report = Report();
    written_fingerprint_ = report.fingerprint;
    written_at_ = handlers_.now();
    RegistryObject object;
    object.name = options_.name;
    object.revision = exists_ ? kAnyRevision : 0;
    object.spec = EncodeInstanceRecord(
        {options_.ip, handlers_.unix_ms(), std::move(report.text)});
    const std::weak_ptr<Impl> weak = weak_from_this();
    objects_->Write(options_.kind, object, [weak](const absl::Status& status) {
      if (const auto self = weak.lock()) {
        self->OnWritten(status);
      }
    });
  }

  void OnWritten(const absl::Status& status) {
    const bool is_other_state =
        absl::IsAborted(status) || absl::IsNotFound(status);
    if (is_other_state && !std::exchange(is_second_write_, true)) {
      // Written by the process before, or lost by the registry.
      exists_ = absl::IsAborted(status);
      Write();
      return;
    }
    is_second_write_ = false;
    RecordOutcome(status);
    exists_ = exists_ || status.ok();
    is_write_pending_ = !status.ok();
    if (!status.ok()) {
      Schedule(kRetryDelay, &Impl::Write);
    }
  }

  void RecordOutcome(const absl::Status& status) {
    if (!status.ok() && !has_failed_) {
      handlers_.on_failure(status);
    }
    has_failed_ = !status.ok();
  }

  RegistryClient* const lists_;
  RegistryObjectClient* const objects_;
  const InstanceRecorderOptions options_;
  const InstanceRecorderHandlers handlers_;
  TimePoint started_at_{};
  std::map<std::string, Entry> entries_;  // of the present read, by name
  size_t pages_ = 0;
  size_t known_instances_ = 0;  // by the last read
  bool misses_instances_ = false;
  bool exists_ = false;  // the own record
  bool is_write_pending_ = false;
  bool is_second_write_ = false;
  uint64_t written_fingerprint_ = 0;  // of the report that was written last
  TimePoint written_at_{};
  bool has_failed_ = false;
};

InstanceRecorder::InstanceRecorder(RegistryClient* lists,
                                   RegistryObjectClient* objects,
                                   InstanceRecorderOptions options,
                                   InstanceRecorderHandlers handlers)
    : impl_(std::make_shared<Impl>(lists,
                                   objects,
                                   std::move(options),
                                   std::move(handlers))) {}

InstanceRecorder::~InstanceRecorder() = default;

void InstanceRecorder::Start() {
  impl_->Start();
}

}  // namespace endiveyard
