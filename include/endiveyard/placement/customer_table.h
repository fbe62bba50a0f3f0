#ifndef ENDIVEYARD_PLACEMENT_CUSTOMER_TABLE_H_
#define ENDIVEYARD_PLACEMENT_CUSTOMER_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace endiveyard {

// A customer whose callers authenticate with API keys.
struct Customer {
  std::string name;
  // Takes precedence over the priority of the route; 0 is the highest.
  std::optional<int> priority;

  bool operator==(const Customer& other) const;
};

// A key that two customers hold. Names the customers in order of the
// configuration; the first one has it.
struct SharedKey {
  std::string first;
  std::string second;
  std::string digest;  // SHA-256, in hexadecimal

  bool operator==(const SharedKey& other) const;
};

// The customers of one version of the configuration. Holds digests of the keys
// only, so that no copy of it can reveal a key. Immutable; see
// CustomerTableBuilder.
class CustomerTable {
 public:
  const std::vector<Customer>& customers() const { return customers_; }
  // Returns the customer that holds the key, or nullptr.
  const Customer* Find(std::string_view api_key) const;
  // Returns the digests of the keys of the customers of this name.
  std::set<std::string> KeyDigestsOf(std::string_view name) const;
  const std::vector<SharedKey>& shared_keys() const { return shared_keys_; }

  bool operator==(const CustomerTable& other) const;

 private:
  friend class CustomerTableBuilder;

  std::vector<Customer> customers_;
  std::map<std::string, size_t> customer_of_key_digest_;
  std::vector<SharedKey> shared_keys_;
};

class CustomerTableBuilder {
 public:
  // A key that an earlier customer holds stays with that customer.
  CustomerTableBuilder& Add(Customer customer,
                            const std::vector<std::string>& api_keys);
  CustomerTable Build() const { return table_; }

 private:
  CustomerTable table_;
};

// Result of the authentication of a caller.
enum class Authentication {
  kNotRequired,  // the configuration has no customers
  kAnonymous,    // the route takes requests without a valid key
  kCustomer,     // the key of a customer
  kMissingKey,
  kUnknownKey,
};

struct AuthenticatedCaller {
  Authentication result = Authentication::kNotRequired;
  const Customer* customer = nullptr;  // kCustomer only; owned by the table

  bool operator==(const AuthenticatedCaller& other) const {
    return result == other.result && customer == other.customer;
  }
};

// `api_key` is empty if the caller stated none, or several that differ.
AuthenticatedCaller AuthenticateCaller(
    const std::optional<CustomerTable>& table,
    bool allow_anonymous,
    std::string_view api_key);

// Returns the digits of a digest by which log lines name a key.
std::string KeyForLog(std::string_view api_key);

}  // namespace endiveyard

#endif  // ENDIVEYARD_PLACEMENT_CUSTOMER_TABLE_H_
