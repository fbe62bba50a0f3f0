#include "endiveyard/peer/digest_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <cstring>

#include "endiveyard/base/error_kind.h"
#include "peer/digest_messages.h"

namespace endiveyard {
namespace {

uint32_t ToMillis(Duration duration) {
  return static_cast<uint32_t>(std::clamp<int64_t>(
      duration / std::chrono::milliseconds(1), 0, UINT32_MAX));
}

std::string ToString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

// Truncates a name from a peer, to a length above the limit that
// ValidateDigest() checks.
std::string ToTruncatedName(capnp::Text::Reader text) {
  return {text.begin(), std::min<size_t>(text.size(), 1024)};
}

// Number of list entries to read: one more than `limit` at most, so that
// ValidateDigest() rejects a list that is too long.
template <typename List>
uint32_t SizeToRead(const List& list, size_t limit) {
  return std::min<uint32_t>(list.size(), static_cast<uint32_t>(limit) + 1);
}

void WriteNames(const std::vector<std::string>& names,
                capnp::List<capnp::Text>::Builder list) {
  for (uint32_t i = 0; i < list.size(); ++i) {
    list.set(i, names[i]);
  }
}

std::vector<std::string> ReadNames(capnp::List<capnp::Text>::Reader list) {
  std::vector<std::string> names;
  for (uint32_t i = 0; i < SizeToRead(list, kMaxDigestDraining); ++i) {
    names.push_back(ToTruncatedName(list[i]));
  }
  return names;
}

}  // namespace

void WriteDigest(const PeerDigest& digest, rpc::Digest::Builder message) {
  message.setSender(digest.sender);
  message.setIncarnation(digest.incarnation);
  message.setSequence(digest.sequence);
  message.setVersion(digest.version);
  message.setWantsSnapshot(digest.wants_snapshot);
  message.setLoadList(digest.domain_targets_hash);
  if (!digest.edits.empty()) {
    auto edits = message.initEdits(static_cast<uint32_t>(digest.edits.size()));
    for (uint32_t i = 0; i < edits.size(); ++i) {
      edits[i].setVersion(digest.edits[i].version);
      edits[i].setEditId(digest.edits[i].edit_id);
      edits[i].setAuthor(digest.edits[i].author);
      edits[i].setDelta(digest.edits[i].delta);
    }
  }
  if (!digest.leaving.empty()) {
    auto leaving =
        message.initLeaving(static_cast<uint32_t>(digest.leaving.size()));
    for (uint32_t i = 0; i < leaving.size(); ++i) {
      leaving[i].setTarget(digest.leaving[i].target);
      leaving[i].setRemainingMs(ToMillis(digest.leaving[i].remaining));
    }
  }
  if (!digest.fingerprints.empty()) {
    auto fingerprints = message.initFingerprints(
        static_cast<uint32_t>(digest.fingerprints.size()));
    for (uint32_t i = 0; i < fingerprints.size(); ++i) {
      fingerprints[i].setValue(digest.fingerprints[i].value);
      fingerprints[i].setRemainingMs(
          ToMillis(digest.fingerprints[i].remaining));
    }
  }
  if (!digest.loads.empty()) {
    auto loads = message.initLoads(static_cast<uint32_t>(digest.loads.size()));
    for (uint32_t i = 0; i < loads.size(); ++i) {
      loads.set(i, PackLoad(digest.loads[i]));
    }
  }
  message.setLiveList(digest.domain_instances_hash);
  if (!digest.live_instances.empty()) {
    auto live =
        message.initLive(static_cast<uint32_t>(digest.live_instances.size()));
    for (uint32_t i = 0; i < live.size(); ++i) {
      live.set(i, static_cast<uint16_t>(digest.live_instances[i].instance_index
                                            << 6 |
                                        digest.live_instances[i].age));
    }
  }
  if (!digest.draining.empty()) {
    WriteNames(
        digest.draining,
        message.initDraining(static_cast<uint32_t>(digest.draining.size())));
  }
  if (!digest.draining_idle.empty()) {
    WriteNames(digest.draining_idle, message.initDrained(static_cast<uint32_t>(
                                         digest.draining_idle.size())));
  }
  if (digest.snapshot_version > 0) {
    auto snapshot = message.initSnapshot();
    snapshot.setVersion(digest.snapshot_version);
    snapshot.setText(digest.snapshot);
  }
}

PeerDigest ReadDigest(rpc::Digest::Reader message) {
  PeerDigest digest;
  digest.sender = ToTruncatedName(message.getSender());
  digest.incarnation = message.getIncarnation();
  digest.sequence = message.getSequence();
  digest.version = message.getVersion();
  digest.wants_snapshot = message.getWantsSnapshot();
  digest.domain_targets_hash = message.getLoadList();
  const auto edits = message.getEdits();
  for (uint32_t i = 0; i < SizeToRead(edits, kMaxDigestEdits); ++i) {
    DigestEdit edit;
    edit.version = edits[i].getVersion();
    edit.edit_id = ToTruncatedName(edits[i].getEditId());
    edit.author = ToTruncatedName(edits[i].getAuthor());
    edit.delta = ToString(edits[i].getDelta());
    digest.edits.push_back(std::move(edit));
  }
  const auto leaving = message.getLeaving();
  for (uint32_t i = 0; i < SizeToRead(leaving, kMaxDigestLeaving); ++i) {
    digest.leaving.push_back(
        {ToTruncatedName(leaving[i].getTarget()),
         std::chrono::milliseconds(leaving[i].getRemainingMs())});
  }
  const auto fingerprints = message.getFingerprints();
  for (uint32_t i = 0; i < SizeToRead(fingerprints, kMaxDigestFingerprints);
       ++i) {
    digest.fingerprints.push_back(
        {fingerprints[i].getValue(),
         std::chrono::milliseconds(fingerprints[i].getRemainingMs())});
  }
  const auto loads = message.getLoads();
  for (uint32_t i = 0; i < SizeToRead(loads, kMaxDigestLoads); ++i) {
    digest.loads.push_back(UnpackLoad(loads[i]));
  }
  digest.domain_instances_hash = message.getLiveList();
  const auto live = message.getLive();
  for (uint32_t i = 0; i < SizeToRead(live, kMaxDigestInstances); ++i) {
    InstanceLiveness entry;
    entry.instance_index = static_cast<uint16_t>(live[i] >> 6);
    entry.age = live[i] & kMaxDigestAge;
    digest.live_instances.push_back(entry);
  }
  digest.draining = ReadNames(message.getDraining());
  digest.draining_idle = ReadNames(message.getDrained());
  if (message.hasSnapshot()) {
    digest.snapshot_version = message.getSnapshot().getVersion();
    digest.snapshot = ToString(message.getSnapshot().getText());
  }
  return digest;
}

std::string EncodeDigest(const PeerDigest& digest) {
  capnp::MallocMessageBuilder builder;
  WriteDigest(digest, builder.initRoot<rpc::Digest>());
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

absl::StatusOr<PeerDigest> DecodeDigest(std::string_view bytes) {
  PeerDigest digest;
  std::string problem;
  const auto exception = kj::runCatchingExceptions([&]() {
    // Copied, since Cap'n Proto requires word-aligned messages.
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(),
                words.size() * sizeof(capnp::word));
    capnp::FlatArrayMessageReader reader(words, PeerReaderOptions());
    digest = ReadDigest(reader.getRoot<rpc::Digest>());
    problem = ValidateDigest(digest);
  });
  if (exception != nullptr) {
    problem = "not a Cap'n Proto message that holds a digest";
  }
  if (!problem.empty()) {
    return MakeError(ErrorKind::kBadRequest, problem);
  }
  return digest;
}

}  // namespace endiveyard
