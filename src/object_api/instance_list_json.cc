#include "endiveyard/object_api/instance_list_json.h"

#include <cpprest/json.h>

#include <utility>

#include "absl/strings/str_cat.h"

namespace endiveyard {
namespace {

using web::json::value;

std::string StateName(ListedState state) {
  return state == ListedState::kLive ? "live" : "leaving";
}

std::string Field(const value& object, const std::string& name) {
  return object.has_field(name) ? object.at(name).as_string() : "";
}

// Throws web::json::json_exception like the accessors of the JSON library.
ListedState ParseState(const value& object) {
  const std::string name = Field(object, "state");
  if (name.empty() || name == "live") {
    return ListedState::kLive;
  }
  if (name == "leaving") {
    return ListedState::kLeaving;
  }
  throw web::json::json_exception(absl::StrCat(
      "unknown state \"", name, "\", expected \"live\" or \"leaving\""));
}

std::string ParseId(const value& object) {
  std::string id = Field(object, "id");
  if (id.empty()) {
    throw web::json::json_exception("target or instance without \"id\"");
  }
  return id;
}

TargetInfo ParseTarget(const value& object) {
  TargetInfo target;
  target.id = ParseId(object);
  const std::string kind = Field(object, "kind");
  if (kind == "service") {
    target.kind = TargetKind::kService;
  } else if (!kind.empty() && kind != "engine") {
    throw web::json::json_exception(absl::StrCat(
        "unknown kind \"", kind, "\", expected \"engine\" or \"service\""));
  }
  target.house = Field(object, "house");
  target.service = Field(object, "service");
  target.address = Field(object, "address");
  target.region = Field(object, "region");
  target.failure_domain = Field(object, "failure_domain");
  target.state = ParseState(object);
  if (object.has_field("checks_fencing")) {
    target.checks_fencing = object.at("checks_fencing").as_bool();
  }
  return target;
}

ListedInstance ParseListedInstance(const value& object) {
  ListedInstance instance;
  instance.id = ParseId(object);
  instance.address = Field(object, "address");
  instance.region = Field(object, "region");
  instance.failure_domain = Field(object, "failure_domain");
  instance.state = ParseState(object);
  return instance;
}

}  // namespace

std::string FormatInstanceList(const InstanceList& list) {
  std::vector<value> targets;
  targets.reserve(list.targets.size());
  for (const TargetInfo& it : list.targets) {
    value object = value::object();
    object["id"] = value::string(it.id);
    object["kind"] =
        value::string(it.kind == TargetKind::kEngine ? "engine" : "service");
    object["house"] = value::string(it.house);
    object["service"] = value::string(it.service);
    object["address"] = value::string(it.address);
    object["region"] = value::string(it.region);
    object["failure_domain"] = value::string(it.failure_domain);
    object["state"] = value::string(StateName(it.state));
    object["checks_fencing"] = value::boolean(it.checks_fencing);
    targets.push_back(std::move(object));
  }
  std::vector<value> instances;
  instances.reserve(list.instances.size());
  for (const ListedInstance& it : list.instances) {
    value object = value::object();
    object["id"] = value::string(it.id);
    object["address"] = value::string(it.address);
    object["region"] = value::string(it.region);
    object["failure_domain"] = value::string(it.failure_domain);
    object["state"] = value::string(StateName(it.state));
    instances.push_back(std::move(object));
  }
  value body = value::object();
  body["targets"] = value::array(std::move(targets));
  body["entries"] = value::array(std::move(instances));
  return body.serialize();
}

absl::StatusOr<InstanceList> ParseInstanceList(const std::string& json) {
  try {
    const value body = value::parse(json);
    // has_field() returns false for an array, so an array would be accepted as
    // an empty list.
    if (!body.is_object()) {
      throw web::json::json_exception("expected a JSON object");
    }
    InstanceList list;
    if (body.has_field("targets")) {
      for (const value& it : body.at("targets").as_array()) {
        list.targets.push_back(ParseTarget(it));
      }
    }
    if (body.has_field("entries")) {
      for (const value& it : body.at("entries").as_array()) {
        list.instances.push_back(ParseListedInstance(it));
      }
    }
    return list;
  } catch (const web::json::json_exception& e) {
    return absl::InvalidArgumentError(
        absl::StrCat("instance list: ", e.what()));
  }
}

}  // namespace endiveyard
