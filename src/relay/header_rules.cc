#include "relay/header_rules.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <string>
#include <vector>

namespace endiveyard {
namespace {

constexpr std::array<std::string_view, 11> kHopByHopHeaders = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect"};

char AsciiToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view Trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

std::vector<std::string_view> SplitCommaList(std::string_view text) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const size_t comma = text.find(',');
    parts.push_back(Trimmed(text.substr(0, comma)));
    text = comma == std::string_view::npos ? std::string_view()
                                           : text.substr(comma + 1);
  }
  return parts;
}

// Orders names without regard to case.
struct LessIgnoreCase {
  bool operator()(std::string_view a, std::string_view b) const {
    return std::lexicographical_compare(
        a.begin(), a.end(), b.begin(), b.end(),
        [](char x, char y) { return AsciiToLower(x) < AsciiToLower(y); });
  }
};

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return AsciiToLower(x) == AsciiToLower(y);
         });
}

std::optional<std::string_view> FindHeader(const HeaderList& headers,
                                           std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoreCase(key, name)) {
      return value;
    }
  }
  return std::nullopt;
}

HeaderList WithoutHopByHopHeaders(const HeaderList& headers) {
  // A set, since a caller may send thousands of options and fields.
  std::set<std::string_view, LessIgnoreCase> dropped(kHopByHopHeaders.begin(),
                                                     kHopByHopHeaders.end());
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoreCase(key, "connection")) {
      for (const std::string_view it : SplitCommaList(value)) {
        dropped.insert(it);
      }
    }
  }
  HeaderList forwarded;
  forwarded.reserve(headers.size());
  for (const auto& it : headers) {
    if (dropped.count(it.first) == 0) {
      forwarded.push_back(it);
    }
  }
  return forwarded;
}

void AppendHeader(std::string* head,
                  std::string_view name,
                  std::string_view value) {
  head->append(name);
  head->append(": ");
  head->append(value);
  head->append("\r\n");
}

bool MethodHasBody(std::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

std::optional<Duration> KeepAliveTimeout(const HeaderList& headers) {
  const auto value = FindHeader(headers, "keep-alive");
  if (!value) {
    return std::nullopt;
  }
  constexpr std::string_view kTimeout = "timeout=";
  for (const std::string_view it : SplitCommaList(*value)) {
    if (EqualsIgnoreCase(it.substr(0, kTimeout.size()), kTimeout)) {
      const std::string_view digits = it.substr(kTimeout.size());
      int64_t seconds = 0;
      const auto parsed = std::from_chars(
          digits.data(), digits.data() + digits.size(), seconds);
      if (parsed.ec == std::errc() && seconds >= 0) {
        return std::chrono::seconds(seconds);
      }
    }
  }
  return std::nullopt;
}

}  // namespace endiveyard
