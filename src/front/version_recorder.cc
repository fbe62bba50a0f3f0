#include "front/version_recorder.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "endiveyard/base/digest.h"
#include "front/version_record.h"

namespace endiveyard {
namespace {

// Periods that ended longer ago are not recorded.
constexpr Duration kRecordedTime = std::chrono::minutes(1);
// A change is recorded this late, together with those that follow at once.
constexpr Duration kWriteDelay = std::chrono::milliseconds(300);
// An instance that has just started does not know the others yet, and would
// take itself for the first.
constexpr Duration kJoiningTime = std::chrono::seconds(2);
// Time for which each further instance leaves the write to those before it, and
// the number of instances that may write one change.
constexpr Duration kTurnTime = std::chrono::milliseconds(800);
constexpr size_t kMaxTurns = 4;
constexpr Duration kRetryDelay = std::chrono::milliseconds(500);
// After these failures in a row, the next change is waited for.
constexpr int kMaxFailures = 20;

}  // namespace

class VersionRecorder::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(RegistryObjectClient* client,
       StreamVersions* versions,
       VersionRecorderOptions options,
       VersionRecorderHandlers handlers)
      : client_(client),
        versions_(versions),
        options_(std::move(options)),
        handlers_(std::move(handlers)) {}

  void OnReplicasChanged() {
    if (!started_at_) {
      started_at_ = handlers_.now();
      ReadFirst();
      return;
    }
    if (is_past_read_) {
      failures_ = 0;
      ScheduleWrite();
    }
  }

  void OnRegistryRestored() {
    ++restores_;
    if (is_past_read_) {
      failures_ = 0;
      ScheduleWrite();
    }
  }

 private:
  // Calls `action` on this object after `delay`, unless it is gone.
  void Schedule(Duration delay, void (Impl::*action)()) {
    const std::weak_ptr<Impl> weak = weak_from_this();
    handlers_.schedule(delay, [weak, action] {
      if (const auto self = weak.lock()) {
        (self.get()->*action)();
      }
    });
  }

  void Read(void (Impl::*action)(const absl::StatusOr<RegistryObject>&)) {
    const std::weak_ptr<Impl> weak = weak_from_this();
    client_->Read(options_.kind, options_.name,
                  [weak, action](const absl::StatusOr<RegistryObject>& object) {
                    if (const auto self = weak.lock()) {
                      (self.get()->*action)(object);
                    }
                  });
  }

  void ReadFirst() { Read(&Impl::OnFirstRead); }

  void OnFirstRead(const absl::StatusOr<RegistryObject>& object) {
    if (!object.ok() && !absl::IsNotFound(object.status())) {
      if (++failures_ < kMaxFailures) {
        Schedule(kRetryDelay, &Impl::ReadFirst);
      } else {
        is_past_read_ = true;
      }
      handlers_.on_read(object.status(), 0);
      return;
    }
    Apply(object);
    handlers_.on_read(object.status(), recorded_.size());
    if (IsOfEarlierEra(object) && ++failures_ < kMaxFailures) {
      // Others write it again.
      Schedule(kRetryDelay, &Impl::ReadFirst);
      return;
    }
    is_past_read_ = true;
    failures_ = 0;
    ScheduleWrite();
  }

  // Such a record lacks the changes that were lost in a restore.
  bool IsOfEarlierEra(const absl::StatusOr<RegistryObject>& object) const {
    const int64_t era = object.ok() ? DecodeVersionRecordEra(object->spec) : 0;
    return era != 0 && handlers_.era() != 0 && era != handlers_.era();
  }

  void Apply(const absl::StatusOr<RegistryObject>& object) {
    recorded_ = object.ok() && !IsOfEarlierEra(object)
                    ? DecodeVersionRecord(object->spec, handlers_.now(),
                                          handlers_.unix_ms())
                    : VersionPeriods();
    revision_ = object.ok() ? object->revision : 0;
    versions_->RecordPast(recorded_);
  }

  VersionPeriods Current() const {
    return versions_->PeriodsSince(handlers_.now() - kRecordedTime);
  }

  // Returns how many instances are asked to write the present change before
  // this one.
  size_t Turn() const {
    uint64_t change = 0;
    for (const auto& [service, periods] : Current()) {
      for (const auto& [version, count] : periods.back().counts) {
        change = CombineDigests(
            change, Digest64(version, static_cast<uint64_t>(count.most)));
      }
    }
    const InstancePosition position = handlers_.position();
    return (position.index + change % position.count) % position.count;
  }

  bool NeedsWrite(const VersionPeriods& current) const {
    return recorded_restores_ != restores_ ||
           NeedsRecording(recorded_, current);
  }

  void ScheduleWrite() {
    if (is_write_pending_ || !NeedsWrite(Current())) {
      return;
    }
    const auto age =
        std::chrono::duration_cast<Duration>(handlers_.now() - *started_at_);
    if (age < kJoiningTime) {
      is_write_pending_ = true;
      Schedule(kJoiningTime - age, &Impl::OnJoined);
      return;
    }
    const size_t turn = Turn();
    if (turn < kMaxTurns) {
      is_write_pending_ = true;
      Schedule(kWriteDelay + turn * kTurnTime, &Impl::ReadBeforeWrite);
    } else {
      recorded_restores_ = restores_;  // others write
    }
  }

  void OnJoined() {
    is_write_pending_ = false;
    ScheduleWrite();
  }

  void ReadBeforeWrite() { Read(&Impl::WriteAfterRead); }

  void WriteAfterRead(const absl::StatusOr<RegistryObject>& object) {
    if (!object.ok() && !absl::IsNotFound(object.status())) {
      OnWritten(object.status());
      return;
    }
    Apply(object);
    const VersionPeriods current = Current();
    if (!NeedsWrite(current)) {
      is_write_pending_ = false;
      return;
    }
    RegistryObject record;
    record.name = options_.name;
    record.revision = revision_;
    record.spec = EncodeVersionRecord(current, handlers_.now(),
                                      handlers_.unix_ms(), handlers_.era());
    const std::weak_ptr<Impl> weak = weak_from_this();
    client_->Write(
        options_.kind, record,
        [weak, current, restores = restores_](const absl::Status& status) {
          if (const auto self = weak.lock()) {
            if (status.ok()) {
              self->recorded_ = current;
              self->recorded_restores_ = restores;
            }
            self->OnWritten(status);
          }
        });
  }

  void OnWritten(const absl::Status& status) {
    is_write_pending_ = false;
    handlers_.on_written(status);
    if (status.ok()) {
      failures_ = 0;
      ScheduleWrite();
    } else if (++failures_ < kMaxFailures) {
      is_write_pending_ = true;
      Schedule(kRetryDelay, &Impl::OnJoined);
    }
  }

  RegistryObjectClient* const client_;
  StreamVersions* const versions_;
  const VersionRecorderOptions options_;
  const VersionRecorderHandlers handlers_;
  std::optional<TimePoint> started_at_;
  bool is_past_read_ = false;
  bool is_write_pending_ = false;   // or waits for its turn
  int failures_ = 0;                // in a row
  VersionPeriods recorded_;         // as it was last read or written
  int64_t revision_ = 0;            // of the record; 0 if there is none
  uint64_t restores_ = 0;           // of the registry
  uint64_t recorded_restores_ = 0;  // before the last write
};

VersionRecorder::VersionRecorder(RegistryObjectClient* client,
                                 StreamVersions* versions,
                                 VersionRecorderOptions options,
                                 VersionRecorderHandlers handlers)
    : impl_(std::make_shared<Impl>(client,
                                   versions,
                                   std::move(options),
                                   std::move(handlers))) {}

VersionRecorder::~VersionRecorder() = default;

void VersionRecorder::OnReplicasChanged() {
  impl_->OnReplicasChanged();
}

void VersionRecorder::OnRegistryRestored() {
  impl_->OnRegistryRestored();
}

}  // namespace endiveyard
