#include "front/stream_recorder.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "endiveyard/base/digest.h"
#include "front/registry_write_interval.h"
#include "front/stream_record.h"

namespace endiveyard {
namespace {

constexpr Duration kMinWriteInterval = std::chrono::seconds(1);
// Time between the end of a read and the begin of the next one.
constexpr Duration kReadInterval = std::chrono::milliseconds(500);
// Longest time for which a reader waits.
constexpr Duration kMaxReadWait = std::chrono::milliseconds(500);
// Streams of the process that this one replaces are recorded for this long.
constexpr Duration kKeptTime = std::chrono::seconds(20);

bool Precedes(const StreamReport& a, const StreamReport& b) {
  return std::pair(a.stream, a.version) < std::pair(b.stream, b.version);
}

}  // namespace

class StreamRecorder::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(RegistryClient* lists,
       RegistryObjectClient* objects,
       StreamVersions* versions,
       StreamRecorderOptions options,
       StreamRecorderHandlers handlers)
      : lists_(lists),
        objects_(objects),
        versions_(versions),
        options_(std::move(options)),
        handlers_(std::move(handlers)) {}

  void Start() {
    // So that the instances do not write at the same time.
    const uint64_t offset = Digest64(options_.name) %
                            static_cast<uint64_t>(kMinWriteInterval.count());
    Schedule(Duration(static_cast<int64_t>(offset)), &Impl::OnTimer);
  }

  void ReadAll(std::function<void()> done) {
    if (!is_reading_ && last_read_ &&
        handlers_.now() - *last_read_ < kReadInterval) {
      done();
      return;
    }
    waiting_.push_back(std::move(done));
    if (waiting_.size() == 1) {
      Schedule(kMaxReadWait, &Impl::EndWait);
    }
    if (!is_reading_) {
      is_reading_ = true;
      read_streams_ = 0;
      ReadPage("");
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

  Duration WriteInterval() const {
    return RegistryWriteInterval(handlers_.instance_count(),
                                 options_.registry_writes_per_second,
                                 kMinWriteInterval);
  }

  void ReadPage(const std::string& after) {
    const std::weak_ptr<Impl> weak = weak_from_this();
    lists_->ListPage(options_.kind, after,
                     [weak](const absl::StatusOr<RegistryPage>& page) {
                       if (const auto self = weak.lock()) {
                         self->OnPage(page);
                       }
                     });
  }

  void OnPage(const absl::StatusOr<RegistryPage>& page) {
    if (page.ok()) {
      for (const RegistryObject& it : page->items) {
        read_streams_ += Apply(it).size();
      }
      if (page->has_more && !page->items.empty()) {
        ReadPage(page->items.back().name);
        return;
      }
    }
    is_reading_ = false;
    last_read_ = handlers_.now();
    handlers_.on_read(page.status(), read_streams_);
    EndWait();
  }

  void EndWait() {
    for (const auto& done : std::exchange(waiting_, {})) {
      done();
    }
  }

  std::vector<StreamReport> Apply(const RegistryObject& object) {
    std::vector<StreamReport> streams = DecodeStreamRecord(object.spec);
    for (const StreamReport& it : streams) {
      versions_->ApplyReport(it, handlers_.now());
    }
    return streams;
  }

  void OnTimer() {
    Schedule(WriteInterval(), &Impl::OnTimer);
    const std::vector<StreamReport> open =
        versions_->OpenStreams(kMaxRecordedStreams, handlers_.now());
    if (is_write_pending_ ||
        std::includes(recorded_.begin(), recorded_.end(), open.begin(),
                      open.end(), Precedes)) {
      return;
    }
    is_write_pending_ = true;
    if (revision_) {
      Write(open);
      return;
    }
    const std::weak_ptr<Impl> weak = weak_from_this();
    objects_->Read(options_.kind, options_.name,
                   [weak](const absl::StatusOr<RegistryObject>& object) {
                     if (const auto self = weak.lock()) {
                       self->OnOwnRead(object);
                     }
                   });
  }

  void OnOwnRead(const absl::StatusOr<RegistryObject>& object) {
    if (!object.ok() && !absl::IsNotFound(object.status())) {
      OnWritten(object.status(), {});
      return;
    }
    revision_ = object.ok() ? kAnyRevision : 0;
    if (object.ok()) {
      kept_ = Apply(*object);
      kept_.resize(std::min(kept_.size(), kMaxRecordedStreams));
      kept_until_ = handlers_.now() + kKeptTime;
    }
    Write(versions_->OpenStreams(kMaxRecordedStreams, handlers_.now()));
  }

  void Write(const std::vector<StreamReport>& open) {
    std::vector<StreamReport> streams = open;
    if (handlers_.now() < kept_until_) {
      streams.insert(streams.end(), kept_.begin(), kept_.end());
    }
    RegistryObject record;
    record.name = options_.name;
    record.revision = *revision_;
    record.spec = EncodeStreamRecord(streams);
    const std::weak_ptr<Impl> weak = weak_from_this();
    objects_->Write(options_.kind, record,
                    [weak, open](const absl::Status& status) {
                      if (const auto self = weak.lock()) {
                        self->OnWritten(status, open);
                      }
                    });
  }

  void OnWritten(const absl::Status& status,
                 const std::vector<StreamReport>& open) {
    is_write_pending_ = false;
    if (status.ok()) {
      recorded_ = open;
      revision_ = kAnyRevision;
    } else if (absl::IsAborted(status) || absl::IsNotFound(status)) {
      revision_.reset();  // the object is not what it was taken for
    }
    if (!status.ok() && !has_failed_) {
      handlers_.on_failure(status);
    }
    has_failed_ = !status.ok();
  }

  RegistryClient* const lists_;
  RegistryObjectClient* const objects_;
  StreamVersions* const versions_;
  const StreamRecorderOptions options_;
  const StreamRecorderHandlers handlers_;

  std::vector<std::function<void()>> waiting_;
  bool is_reading_ = false;
  size_t read_streams_ = 0;  // by the present read
  std::optional<TimePoint> last_read_;

  bool is_write_pending_ = false;
  bool has_failed_ = false;
  // For the next write; not known before the first one.
  std::optional<int64_t> revision_;
  std::vector<StreamReport> recorded_;
  // Of the process that this one replaces.
  std::vector<StreamReport> kept_;
  TimePoint kept_until_{};
};

StreamRecorder::StreamRecorder(RegistryClient* lists,
                               RegistryObjectClient* objects,
                               StreamVersions* versions,
                               StreamRecorderOptions options,
                               StreamRecorderHandlers handlers)
    : impl_(std::make_shared<Impl>(lists,
                                   objects,
                                   versions,
                                   std::move(options),
                                   std::move(handlers))) {}

StreamRecorder::~StreamRecorder() = default;

void StreamRecorder::Start() {
  impl_->Start();
}

void StreamRecorder::ReadAll(std::function<void()> done) {
  impl_->ReadAll(std::move(done));
}

}  // namespace endiveyard
