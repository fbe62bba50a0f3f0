#include "endiveyard/authority/authority_records.h"

#include <functional>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"

namespace endiveyard {
namespace {

// The parts of a field are separated by tabs, which CEscape() removes from the
// parts themselves.
using Parts = std::vector<std::string>;

void AddField(absl::string_view key, const Parts& parts, std::string* text) {
  absl::StrAppend(text, key, "=",
                  absl::StrJoin(parts, "\t",
                                [](std::string* out, const std::string& it) {
                                  absl::StrAppend(out, absl::CEscape(it));
                                }),
                  "\n");
}

bool ForEachField(
    std::string_view text,
    const std::function<bool(absl::string_view, const Parts&)>& handle_field) {
  for (absl::string_view line :
       absl::StrSplit(absl::string_view(text.data(), text.size()), '\n',
                      absl::SkipEmpty())) {
    const std::pair<absl::string_view, absl::string_view> field =
        absl::StrSplit(line, absl::MaxSplits('=', 1));
    Parts parts;
    for (absl::string_view it : absl::StrSplit(field.second, '\t')) {
      std::string part;
      if (!absl::CUnescape(it, &part)) {
        return false;
      }
      parts.push_back(std::move(part));
    }
    if (!handle_field(field.first, parts)) {
      return false;
    }
  }
  return true;
}

bool ParseNumber(const std::string& text, uint64_t* value) {
  return absl::SimpleAtoi(text, value);
}

}  // namespace

std::string FormatLease(const LeaseRecord& record) {
  std::string text;
  AddField("instance", {record.instance}, &text);
  AddField("incarnation", {record.incarnation}, &text);
  AddField("epoch", {absl::StrCat(record.epoch)}, &text);
  AddField("revoked", {record.revoked ? "1" : "0"}, &text);
  AddField("writer", {record.writer}, &text);
  return text;
}

bool ParseLease(std::string_view text, LeaseRecord* record) {
  *record = {};
  return ForEachField(text,
                      [&](absl::string_view key, const Parts& parts) {
                        if (key == "instance") {
                          record->instance = parts[0];
                        } else if (key == "incarnation") {
                          record->incarnation = parts[0];
                        } else if (key == "epoch") {
                          return ParseNumber(parts[0], &record->epoch);
                        } else if (key == "revoked") {
                          record->revoked = parts[0] == "1";
                        } else if (key == "writer") {
                          record->writer = parts[0];
                        }
                        return true;
                      }) &&
         !record->instance.empty();
}

std::string FormatShard(const ShardRecord& record) {
  std::string text;
  AddField("owner", {record.owner}, &text);
  AddField("incarnation", {record.incarnation}, &text);
  AddField("epoch", {absl::StrCat(record.epoch)}, &text);
  AddField("fencing", {absl::StrCat(record.fencing)}, &text);
  AddField("next_order", {absl::StrCat(record.next_order)}, &text);
  for (const ProcessIdentity& it : record.former_owners) {
    AddField("former", {it.instance, it.incarnation}, &text);
  }
  for (const OpenOrder& it : record.orders) {
    Parts parts = {it.order_id,
                   it.target,
                   absl::StrCat(it.fencing),
                   std::string(RoleName(it.plan.role)),
                   it.plan.model,
                   it.plan.version};
    parts.insert(parts.end(), it.plan.adapters.begin(), it.plan.adapters.end());
    AddField("order", parts, &text);
  }
  AddField("writer", {record.writer}, &text);
  return text;
}

bool ParseShard(std::string_view text, ShardRecord* record) {
  *record = {};
  return ForEachField(text,
                      [&](absl::string_view key, const Parts& parts) {
                        if (key == "owner") {
                          record->owner = parts[0];
                        } else if (key == "incarnation") {
                          record->incarnation = parts[0];
                        } else if (key == "epoch") {
                          return ParseNumber(parts[0], &record->epoch);
                        } else if (key == "fencing") {
                          return ParseNumber(parts[0], &record->fencing);
                        } else if (key == "next_order") {
                          return ParseNumber(parts[0], &record->next_order);
                        } else if (key == "former") {
                          if (parts.size() != 2) {
                            return false;
                          }
                          record->former_owners.push_back({parts[0], parts[1]});
                        } else if (key == "order") {
                          OpenOrder order;
                          if (parts.size() < 6 ||
                              !ParseNumber(parts[2], &order.fencing) ||
                              !ParseRole(parts[3], &order.plan.role)) {
                            return false;
                          }
                          order.order_id = parts[0];
                          order.target = parts[1];
                          order.plan.model = parts[4];
                          order.plan.version = parts[5];
                          order.plan.adapters.assign(parts.begin() + 6,
                                                     parts.end());
                          record->orders.push_back(std::move(order));
                        } else if (key == "writer") {
                          record->writer = parts[0];
                        }
                        return true;
                      }) &&
         !record->writer.empty();
}

std::string FormatCapacity(const CapacityRecord& record) {
  std::string text;
  for (const auto& [target, entry] : record.targets) {
    AddField(
        "target",
        {target, entry.out ? "out" : "in", std::string(RoleName(entry.role))},
        &text);
  }
  AddField("writer", {record.writer}, &text);
  return text;
}

bool ParseCapacity(std::string_view text, CapacityRecord* record) {
  *record = {};
  return ForEachField(
             text,
             [&](absl::string_view key, const Parts& parts) {
               if (key == "target") {
                 CapacityRecord::Entry entry;
                 if (parts.size() != 3 || !ParseRole(parts[2], &entry.role)) {
                   return false;
                 }
                 entry.out = parts[1] == "out";
                 record->targets[parts[0]] = entry;
               } else if (key == "writer") {
                 record->writer = parts[0];
               }
               return true;
             }) &&
         !record->writer.empty();
}

std::string FormatWeightSlot(const WeightSlotRecord& record) {
  std::string text;
  AddField("loads", {absl::StrCat(record.loads)}, &text);
  AddField("writer", {record.writer}, &text);
  return text;
}

bool ParseWeightSlot(std::string_view text, WeightSlotRecord* record) {
  *record = {};
  return ForEachField(text,
                      [&](absl::string_view key, const Parts& parts) {
                        if (key == "loads") {
                          return ParseNumber(parts[0], &record->loads);
                        }
                        if (key == "writer") {
                          record->writer = parts[0];
                        }
                        return true;
                      }) &&
         !record->writer.empty();
}

}  // namespace endiveyard
