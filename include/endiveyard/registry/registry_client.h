#ifndef ENDIVEYARD_REGISTRY_REGISTRY_CLIENT_H_
#define ENDIVEYARD_REGISTRY_REGISTRY_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "endiveyard/base/time_point.h"

namespace endiveyard {

// A registry object as it was read.
struct RegistryObject {
  std::string name;
  std::string spec;  // JSON text
  bool deleted = false;
  int64_t revision = 0;  // of its last change; 0 if the registry states none
};

// Eras number the times that the registry was restored from a copy. What it
// had acknowledged since the copy was made is lost then, and revisions are
// given out again, so that they can only be compared within one era. 0 stands
// for a registry that states no era.

struct RegistryList {
  std::vector<RegistryObject> items;
  int64_t revision = 0;  // of the registry when the list was read
  int64_t era = 0;
};

// A part of a list, in order of name.
struct RegistryPage {
  std::vector<RegistryObject> items;
  int64_t revision = 0;
  bool has_more = false;  // another page follows the last item
  int64_t era = 0;
};

struct RegistryChanges {
  std::vector<RegistryObject> objects;  // in the order of the changes
  int64_t revision = 0;                 // from which the next watch continues
  int64_t era = 0;
};

// Reads objects of the registry by kind. Each call is sent once, without
// retries, and its callback runs once, on the event loop thread. Errors:
// kOutOfRange when the registry no longer keeps the changes since the requested
// revision, kUnavailable for all failures that may be temporary.
class RegistryClient {
 public:
  virtual ~RegistryClient() = default;

  // Reads the objects whose names follow `after`, from the first one if it is
  // empty. A page that is followed by another one has at least one item.
  virtual void ListPage(
      const std::string& kind,
      const std::string& after,
      std::function<void(absl::StatusOr<RegistryPage>)> done) = 0;
  // As ListPage(), but cheaper, and the objects may be those of some seconds
  // ago. The revision says nothing.
  virtual void ListStalePage(
      const std::string& kind,
      const std::string& after,
      std::function<void(absl::StatusOr<RegistryPage>)> done) {
    ListPage(kind, after, std::move(done));
  }
  // Long poll: completes at the first change after `revision`, or without
  // changes after `timeout`.
  virtual void Watch(
      const std::string& kind,
      int64_t revision,
      Duration timeout,
      std::function<void(absl::StatusOr<RegistryChanges>)> done) = 0;
};

// Revision of an object that is to be replaced whichever it has.
inline constexpr int64_t kAnyRevision = -1;

// Reads and writes single objects of the registry. Each call is sent once; its
// callback runs once, on the event loop thread. A call without an answer may
// still be carried out later, if its condition holds then.
class RegistryObjectClient {
 public:
  virtual ~RegistryObjectClient() = default;

  // Errors: kNotFound if there is no such object, kUnavailable.
  virtual void Read(
      const std::string& kind,
      const std::string& name,
      std::function<void(absl::StatusOr<RegistryObject>)> done) = 0;
  // Replaces the object if its revision is still that of `object`, or creates
  // it if that is 0. Errors: kAborted if the object has changed or exists,
  // kNotFound if there is none to replace, kUnavailable.
  virtual void Write(const std::string& kind,
                     const RegistryObject& object,
                     std::function<void(absl::Status)> done) = 0;
  // Removes the object if it still has this revision. Errors: as Write().
  virtual void Remove(const std::string& kind,
                      const std::string& name,
                      int64_t revision,
                      std::function<void(absl::Status)> done) = 0;
};

// Answer to a call for one object.
struct RegistryAnswer {
  // Errors: as those of RegistryObjectClient.
  absl::StatusOr<RegistryObject> object;
  int64_t era = 0;  // also that of an error; 0 if there was no answer
};

// As RegistryObjectClient, for those that have to know the revision of what
// they wrote, and the era in which it was written.
class RegistryRecordClient {
 public:
  virtual ~RegistryRecordClient() = default;

  virtual void ReadRecord(const std::string& kind,
                          const std::string& name,
                          std::function<void(RegistryAnswer)> done) = 0;
  // Answers with the object that was written. A revision of 0 means that the
  // write took effect, but its revision is not known.
  virtual void WriteRecord(const std::string& kind,
                           const RegistryObject& object,
                           std::function<void(RegistryAnswer)> done) = 0;
};

}  // namespace endiveyard

#endif  // ENDIVEYARD_REGISTRY_REGISTRY_CLIENT_H_
