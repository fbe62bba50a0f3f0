#include "front/stream_start_recorder.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "endiveyard/base/digest.h"
#include "front/stream_start_record.h"

namespace endiveyard {
namespace {

// Interval of the checks for something new to write or to read. Instances check
// at different times: they learn the same at about the same time, and most are
// to find it written.
constexpr Duration kCheckInterval = std::chrono::milliseconds(500);
// Time between two reads for unknown groups. It doubles with each read that
// brings nothing new.
constexpr Duration kMinReadInterval = kCheckInterval;
constexpr Duration kMaxReadIntervalOfUnknown = std::chrono::minutes(1);
// Time after a read that has failed; it doubles with each one in a row.
constexpr Duration kMaxRetryInterval = std::chrono::seconds(4);
// Time after a write that has failed.
constexpr Duration kWriteRetryInterval = std::chrono::seconds(5);
// The record is read again after this time, since a registry that was restored
// from a copy may have lost it.
constexpr Duration kMaxReadInterval = std::chrono::minutes(5);

}  // namespace

class StreamStartRecorder::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(RegistryObjectClient* client,
       StreamStarts* starts,
       StreamStartRecorderOptions options,
       StreamStartRecorderHandlers handlers)
      : client_(client),
        starts_(starts),
        options_(std::move(options)),
        handlers_(std::move(handlers)) {}

  void Start() {
    Read();
    const uint64_t offset = Digest64(options_.instance) %
                            static_cast<uint64_t>(kCheckInterval.count());
    Schedule(Duration(static_cast<int64_t>(offset)));
  }

  void OnRegistryRegained() {
    if (has_failed_ && !is_calling_) {
      Read();
    }
  }

 private:
  // Calls Check() after `delay`, unless this object is gone.
  void Schedule(Duration delay) {
    const std::weak_ptr<Impl> weak = weak_from_this();
    handlers_.schedule(delay, [weak] {
      if (const auto self = weak.lock()) {
        self->Check();
      }
    });
  }

  void Check() {
    Schedule(kCheckInterval);
    const TimePoint now = handlers_.now();
    const bool unknown_group_met = starts_->TakeUnknownGroupMet();
    if (is_calling_) {
      return;
    }
    const Duration age = std::chrono::duration_cast<Duration>(now - read_at_);
    const bool is_due = !recorded_ || IsWriteDue() ||
                        (unknown_group_met && age >= read_interval_) ||
                        age >= kMaxReadInterval;
    if (is_due && age >= retry_interval_) {
      Read();
    }
  }

  bool IsWriteDue() const {
    const bool is_waiting =
        write_failed_at_ &&
        handlers_.now() - *write_failed_at_ < kWriteRetryInterval;
    return !is_waiting && Merged() != *recorded_;
  }

  RecordedStreamStarts Merged() const {
    return MergeStreamStarts(*recorded_, starts_->Learned(handlers_.now()),
                             handlers_.unix_ms());
  }

  void Read() {
    is_calling_ = true;
    read_at_ = handlers_.now();
    const std::weak_ptr<Impl> weak = weak_from_this();
    client_->Read(options_.kind, options_.name,
                  [weak](const absl::StatusOr<RegistryObject>& object) {
                    if (const auto self = weak.lock()) {
                      self->OnRead(object);
                    }
                  });
  }

  void OnRead(const absl::StatusOr<RegistryObject>& object) {
    is_calling_ = false;
    const bool succeeded = object.ok() || absl::IsNotFound(object.status());
    if (succeeded) {
      revision_ = object.ok() ? object->revision : 0;
      Apply(object.ok() ? DecodeStreamStarts(object->spec)
                        : RecordedStreamStarts());
    }
    if (succeeded || !has_failed_) {
      handlers_.on_read(succeeded ? absl::OkStatus() : object.status(),
                        recorded_ ? recorded_->size() : 0);
    }
    has_failed_ = !succeeded;
    retry_interval_ = succeeded ? Duration(0)
                                : std::clamp(2 * retry_interval_,
                                             kCheckInterval, kMaxRetryInterval);
    if (succeeded && IsWriteDue()) {
      Write();
    }
  }

  void Apply(RecordedStreamStarts recorded) {
    std::vector<StreamStart> known;
    known.reserve(recorded.size());
    for (const auto& [start, confirmed_ms] : recorded) {
      known.push_back(start);
    }
    starts_->RecordKnown(known);
    read_interval_ =
        recorded_ != recorded
            ? kMinReadInterval
            : std::min(2 * read_interval_, kMaxReadIntervalOfUnknown);
    recorded_ = std::move(recorded);
  }

  void Write() {
    const RecordedStreamStarts merged = Merged();
    RegistryObject record;
    record.name = options_.name;
    record.revision = revision_;
    record.spec = EncodeStreamStarts(merged);
    is_calling_ = true;
    const std::weak_ptr<Impl> weak = weak_from_this();
    client_->Write(options_.kind, record,
                   [weak, merged](const absl::Status& status) {
                     if (const auto self = weak.lock()) {
                       self->OnWritten(status, merged);
                     }
                   });
  }

  void OnWritten(const absl::Status& status,
                 const RecordedStreamStarts& written) {
    is_calling_ = false;
    write_failed_at_.reset();
    if (status.ok()) {
      Apply(written);
    } else if (!absl::IsAborted(status)) {
      write_failed_at_ = handlers_.now();
    }
    handlers_.on_written(status);
  }

  RegistryObjectClient* const client_;
  StreamStarts* const starts_;
  const StreamStartRecorderOptions options_;
  const StreamStartRecorderHandlers handlers_;
  bool is_calling_ = false;
  bool has_failed_ = false;
  TimePoint read_at_{};                        // begin of the last read
  Duration read_interval_ = kMinReadInterval;  // for unknown groups
  Duration retry_interval_{};                  // after failed reads
  // As last read or written; nullopt before the first read.
  std::optional<RecordedStreamStarts> recorded_;
  int64_t revision_ = 0;  // 0 if there is no record
  // Set if the last write has failed, unless another instance was faster.
  std::optional<TimePoint> write_failed_at_;
};

StreamStartRecorder::StreamStartRecorder(RegistryObjectClient* client,
                                         StreamStarts* starts,
                                         StreamStartRecorderOptions options,
                                         StreamStartRecorderHandlers handlers)
    : impl_(std::make_shared<Impl>(client,
                                   starts,
                                   std::move(options),
                                   std::move(handlers))) {}

StreamStartRecorder::~StreamStartRecorder() = default;

void StreamStartRecorder::Start() {
  impl_->Start();
}

void StreamStartRecorder::OnRegistryRegained() {
  impl_->OnRegistryRegained();
}

}  // namespace endiveyard
