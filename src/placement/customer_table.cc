#include "endiveyard/placement/customer_table.h"

#include <tuple>
#include <utility>

#include "endiveyard/base/digest.h"

namespace endiveyard {

bool Customer::operator==(const Customer& other) const {
  return std::tie(name, priority) == std::tie(other.name, other.priority);
}

const Customer* CustomerTable::Find(std::string_view api_key) const {
  if (api_key.empty()) {
    return nullptr;
  }
  const auto it = customer_of_key_digest_.find(Sha256Hex(api_key));
  return it == customer_of_key_digest_.end() ? nullptr
                                             : &customers_[it->second];
}

bool SharedKey::operator==(const SharedKey& other) const {
  return std::tie(first, second, digest) ==
         std::tie(other.first, other.second, other.digest);
}

std::set<std::string> CustomerTable::KeyDigestsOf(std::string_view name) const {
  std::set<std::string> digests;
  for (const auto& [digest, customer] : customer_of_key_digest_) {
    if (customers_[customer].name == name) {
      digests.insert(digest);
    }
  }
  return digests;
}

bool CustomerTable::operator==(const CustomerTable& other) const {
  return std::tie(customers_, customer_of_key_digest_) ==
         std::tie(other.customers_, other.customer_of_key_digest_);
}

CustomerTableBuilder& CustomerTableBuilder::Add(
    Customer customer,
    const std::vector<std::string>& api_keys) {
  for (const std::string& it : api_keys) {
    if (it.empty()) {
      continue;
    }
    const auto [entry, is_new] = table_.customer_of_key_digest_.emplace(
        Sha256Hex(it), table_.customers_.size());
    if (!is_new && entry->second != table_.customers_.size()) {
      table_.shared_keys_.push_back(
          {table_.customers_[entry->second].name, customer.name, entry->first});
    }
  }
  table_.customers_.push_back(std::move(customer));
  return *this;
}

AuthenticatedCaller AuthenticateCaller(
    const std::optional<CustomerTable>& table,
    bool allow_anonymous,
    std::string_view api_key) {
  if (!table) {
    return {};
  }
  if (const Customer* customer = table->Find(api_key)) {
    return {Authentication::kCustomer, customer};
  }
  if (allow_anonymous) {
    return {Authentication::kAnonymous, nullptr};
  }
  return {api_key.empty() ? Authentication::kMissingKey
                          : Authentication::kUnknownKey,
          nullptr};
}

std::string KeyForLog(std::string_view api_key) {
  constexpr size_t kDigits = 8;
  return api_key.empty() ? "" : Sha256Hex(api_key).substr(0, kDigits);
}

}  // namespace endiveyard
